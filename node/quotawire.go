package node

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"pollengauge.dev/customer"
	"pollengauge.dev/quota"
)

// quotaPath is the path at which a peer listener receives token requests.
const quotaPath = "/.pollengauge/quota"

// quotaHost is the Host of a token request; it can't be the name of a service.
const quotaHost = "quota.pollengauge"

// isTokenRequest reports whether a request at the peer listener is a token request and
// not a call.
func (*Node) isTokenRequest(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == quotaPath && r.Host == quotaHost
}

// Headers of a token request and of its response. Both have no body.
const (
	quotaFromHeader     = "Quota-From"
	quotaCustomerHeader = "Quota-Customer"
	// The limit, and the version of the configuration that it comes from.
	quotaRateHeader    = "Quota-Rate"
	quotaBurstHeader   = "Quota-Burst"
	quotaVersionHeader = "Quota-Version"
	quotaWantHeader    = "Quota-Want"
	quotaNeedHeader    = "Quota-Need"
	quotaDeputyHeader  = "Quota-Deputy"

	quotaTokensHeader = "Quota-Tokens"
	quotaSpareHeader  = "Quota-Spare"
	// quotaAfterHeader is in microseconds, quotaUseHeader in thousandths.
	quotaAfterHeader = "Quota-After"
	quotaUseHeader   = "Quota-Use"
	quotaHomeHeader  = "Quota-Home"
)

// maxQuotaWant bounds the tokens of one request and of its response.
const maxQuotaWant = 100_000

const useUnit = 1000

// QuotaSilentError reports that a member can't lease tokens now: it did not respond, is
// gone, or has not joined.
type QuotaSilentError struct {
	Member string
	Cause  error
}

// Error implements error.
func (e *QuotaSilentError) Error() string {
	if e.Cause != nil {
		return "token request to member " + e.Member + ": " + e.Cause.Error()
	}
	return "member " + e.Member + " can't lease tokens now"
}

// Unwrap returns the cause.
func (e *QuotaSilentError) Unwrap() error { return e.Cause }

// QuotaMovedError reports that another member owns the customer.
type QuotaMovedError struct{ Home string }

// Error implements error.
func (e *QuotaMovedError) Error() string { return "member " + e.Home + " owns the customer" }

func asQuotaMoved(err error, moved **QuotaMovedError) bool { return errors.As(err, moved) }

// QuotaMessageError reports an invalid field in a token request or its response.
type QuotaMessageError struct{ Field string }

// Error implements error.
func (e *QuotaMessageError) Error() string { return "question for tokens: field " + e.Field }

// sendTokenRequest sends a token request to another member.
func (n *Node) sendTokenRequest(ctx context.Context, addr string, ask quota.LeaseRequest, asDeputy bool) (quota.Grant, error) {
	h := http.Header{"User-Agent": {""}}
	setFields(h,
		field{quotaFromHeader, n.id},
		field{quotaCustomerHeader, url.PathEscape(ask.Customer)},
		field{quotaRateHeader, strconv.FormatFloat(ask.Limit.Rate, 'g', -1, 64)},
		field{quotaBurstHeader, strconv.FormatFloat(ask.Limit.Burst, 'g', -1, 64)},
		field{quotaVersionHeader, strconv.FormatUint(ask.Version, 10)},
		field{quotaWantHeader, strconv.Itoa(ask.Want)},
		field{quotaNeedHeader, strconv.Itoa(ask.Need)})
	if asDeputy {
		h[quotaDeputyHeader] = []string{"1"}
	}
	resp, _, err := n.roundTrip(ctx, n.peers, &http.Request{
		Method:     http.MethodPost,
		URL:        &url.URL{Scheme: "http", Host: addr, Path: quotaPath},
		Host:       quotaHost,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     h,
	})
	if err != nil {
		return quota.Grant{}, &QuotaSilentError{Member: addr, Cause: err}
	}
	_ = resp.Body.Close()
	return parseGrant(resp)
}

func parseGrant(resp *http.Response) (quota.Grant, error) {
	if owner := resp.Header.Get(quotaHomeHeader); owner != "" {
		return quota.Grant{}, &QuotaMovedError{Home: owner}
	}
	if resp.StatusCode != http.StatusNoContent {
		return quota.Grant{}, &QuotaMessageError{Field: "status"}
	}
	tokens, err := strconv.Atoi(resp.Header.Get(quotaTokensHeader))
	if err != nil || tokens < 0 || tokens > maxQuotaWant {
		return quota.Grant{}, &QuotaMessageError{Field: quotaTokensHeader}
	}
	after, err := strconv.ParseUint(resp.Header.Get(quotaAfterHeader), 10, 32)
	if err != nil {
		return quota.Grant{}, &QuotaMessageError{Field: quotaAfterHeader}
	}
	use, err := strconv.ParseUint(resp.Header.Get(quotaUseHeader), 10, 16)
	if err != nil {
		return quota.Grant{}, &QuotaMessageError{Field: quotaUseHeader}
	}
	spare := resp.Header.Get(quotaSpareHeader) != ""
	return quota.Grant{Tokens: tokens, NotNeeded: spare, RetryAfter: time.Duration(after) * time.Microsecond, Use: float64(use) / useUnit}, nil
}

// parseTokenRequest parses a token request.
func parseTokenRequest(h http.Header) (quota.LeaseRequest, error) {
	name, err := url.PathUnescape(h.Get(quotaCustomerHeader))
	if err != nil || !customer.ValidName(name) {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaCustomerHeader}
	}
	ask := quota.LeaseRequest{Customer: name}
	if ask.Limit.Rate, err = strconv.ParseFloat(h.Get(quotaRateHeader), 64); err != nil || !(ask.Limit.Rate > 0 && ask.Limit.Rate <= customer.MaxRate) {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaRateHeader}
	}
	if ask.Limit.Burst, err = strconv.ParseFloat(h.Get(quotaBurstHeader), 64); err != nil || !(ask.Limit.Burst >= 0 && ask.Limit.Burst <= customer.MaxBurst) {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaBurstHeader}
	}
	if ask.Version, err = strconv.ParseUint(h.Get(quotaVersionHeader), 10, 64); err != nil {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaVersionHeader}
	}
	if ask.Want, err = strconv.Atoi(h.Get(quotaWantHeader)); err != nil || ask.Want < 1 || ask.Want > maxQuotaWant {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaWantHeader}
	}
	if ask.Need, err = strconv.Atoi(h.Get(quotaNeedHeader)); err != nil || ask.Need < 0 || ask.Need > ask.Want {
		return quota.LeaseRequest{}, &QuotaMessageError{Field: quotaNeedHeader}
	}
	return ask, nil
}

// serveTokenRequest answers a token request of another member.
func (n *Node) serveTokenRequest(w http.ResponseWriter, r *http.Request) {
	ask, err := parseTokenRequest(r.Header)
	if err != nil {
		n.answerBadRequest(w, r, err)
		return
	}
	if _, _, known := n.gossip.Lookup(r.Header.Get(quotaFromHeader)); !known {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	grant, err := n.leaseTokens(ask, r.Header.Get(quotaDeputyHeader) != "")
	var moved *QuotaMovedError
	switch {
	case asQuotaMoved(err, &moved):
		w.Header()[quotaHomeHeader] = []string{moved.Home}
		w.WriteHeader(http.StatusNoContent)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		setFields(w.Header(),
			field{quotaTokensHeader, strconv.Itoa(grant.Tokens)},
			field{quotaAfterHeader, strconv.FormatInt(min(grant.RetryAfter.Microseconds(), math.MaxUint32), 10)},
			field{quotaUseHeader, strconv.Itoa(int(grant.Use * useUnit))})
		if grant.NotNeeded {
			w.Header()[quotaSpareHeader] = []string{"1"}
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
