//go:build cgo

package earlysignal

/*
#include <signal.h>
#include <string.h>

// Constructors run before the Go runtime is initialized.
__attribute__((constructor)) static void ignore_sighup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "sidecar") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
