package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"damasktrail.dev"
)

// statusCancelled is used in logs and counters only: the caller is gone.
const statusCancelled = 499

// httpStatuses maps reasons to HTTP status codes.
var httpStatuses = map[damasktrail.Reason]int{
	damasktrail.ReasonUnauthorised: http.StatusUnauthorized,
	damasktrail.ReasonMalformed:    http.StatusBadRequest,
	damasktrail.ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	damasktrail.ReasonStalled:      http.StatusRequestTimeout,
	damasktrail.ReasonMemory:       http.StatusServiceUnavailable,
	damasktrail.ReasonNoModel:      http.StatusNotFound,
	damasktrail.ReasonNoKey:        http.StatusPreconditionRequired,
	damasktrail.ReasonLimit:        http.StatusTooManyRequests,
	damasktrail.ReasonFull:         http.StatusTooManyRequests,
	damasktrail.ReasonDeadline:     http.StatusTooManyRequests,
	damasktrail.ReasonFloor:        http.StatusTooManyRequests,
	damasktrail.ReasonBudget:       http.StatusTooManyRequests,
	damasktrail.ReasonLeaving:      http.StatusServiceUnavailable,
	damasktrail.ReasonStale:        http.StatusServiceUnavailable,
	damasktrail.ReasonNotReady:     http.StatusServiceUnavailable,
	damasktrail.ReasonConflict:     http.StatusServiceUnavailable,
	damasktrail.ReasonPoisoned:     http.StatusUnprocessableEntity,
	damasktrail.ReasonMismatch:     http.StatusConflict,
	damasktrail.ReasonDuplicate:    http.StatusConflict,
	damasktrail.ReasonExpired:      http.StatusGone,
	damasktrail.ReasonIncarnation:  http.StatusGone,
	damasktrail.ReasonCrashed:      http.StatusBadGateway,
	damasktrail.ReasonLost:         http.StatusBadGateway,
	damasktrail.ReasonCancelled:    statusCancelled,
}

// errorBody is OpenAI's error object with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	// Code equals Reason; clients of OpenAI's interface show it.
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	// RetryMillis is the advised retry delay; absent when no retry can help.
	RetryMillis *int64 `json:"retry,omitempty"`
}

func newErrorBody(r *damasktrail.Refusal) errorBody {
	res := errorBody{Error: errorDetail{
		Message: r.Detail,
		Type:    "damasktrail_error",
		Code:    string(r.Reason),
		Outcome: string(r.Outcome),
		Reason:  string(r.Reason),
	}}
	if r.RetryAfter > 0 {
		ms := r.RetryAfter.Milliseconds()
		res.Error.RetryMillis = &ms
	}
	return res
}

// jitter adds up to a quarter to a delay, so that callers refused together do
// not retry together.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/4+1))
}

// writeRefusal answers a request with a refusal. Client libraries repeat
// requests by themselves, so a retry is advised only when it can help and the
// request may be sent again.
func writeRefusal(w http.ResponseWriter, r *damasktrail.Refusal, repeatable bool) {
	h := w.Header()
	h.Set(headerOutcome, string(r.Outcome))
	h.Set(headerReason, string(r.Reason))
	retry := r.RetryAfter > 0 && repeatable
	if retry {
		r = r.WithRetryAfter(jitter(r.RetryAfter))
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
		h.Set("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	h.Set(headerRetry, strconv.FormatBool(retry))
	h.Set("Content-Type", "application/json")
	w.WriteHeader(httpStatus(r.Reason))
	_ = json.NewEncoder(w).Encode(newErrorBody(r)) // The caller may be gone.
}

func httpStatus(r damasktrail.Reason) int {
	if s, found := httpStatuses[r]; found {
		return s
	}
	return http.StatusInternalServerError
}
