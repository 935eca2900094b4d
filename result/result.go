// Package result defines the result codes that the gateway reports. Each code
// belongs to a class that says whether the call ran.
package result

import "net/http"

// Code is a result code. Codes of retired results are never reused.
type Code int

// Class says whether the call ran.
type Class string

// Classes of result codes. ClassNotRun guarantees that nothing ran; with ClassUnknown
// the call may have run. ClassRefused is for documents and settings.
const (
	ClassDone    Class = "done"
	ClassNotRun  Class = "not_run"
	ClassUnknown Class = "unknown"
	ClassRefused Class = "refused"
)

// Codes of class done.
const (
	Done     Code = 1000
	Replayed Code = 1001
	// FailurePassed is an error response of the endpoint, forwarded unchanged.
	FailurePassed Code = 1002
)

// Codes of class not run.
const (
	BadRequest         Code = 2001
	Unauthenticated    Code = 2002
	BodyTooLarge       Code = 2003
	UnknownTarget      Code = 2004
	UnknownRoute       Code = 2005
	MethodNotAllowed   Code = 2006
	NotInContract      Code = 2007
	BodyTooSlow        Code = 2008
	NoCommonHome       Code = 2009
	LimitRequests      Code = 2010
	LimitTokens        Code = 2011
	LimitSpend         Code = 2012
	LimitConcurrency   Code = 2013
	LimitNoShare       Code = 2014
	LimitBorrow        Code = 2015
	LimitEndpoint      Code = 2016
	DeadlineUnmeetable Code = 2020
	QueueFull          Code = 2021
	NoEndpoint         Code = 2022
	DeadlinePassed     Code = 2023
	NoSurplus          Code = 2024
	RetryBudget        Code = 2025
	EndpointRefused    Code = 2026
	Quarantined        Code = 2027
	WrongVM            Code = 2030
	WrongRegion        Code = 2031
	Stopping           Code = 2032
	NotReady           Code = 2033
	PeerUnreachable    Code = 2034
	StreamUnknown      Code = 2035
	VMSaturated        Code = 2036
	BodyMemoryFull     Code = 2038
	RepeatForbidden    Code = 2039
	TicketRequired     Code = 2040
	TicketInvalid      Code = 2041
	TicketExpired      Code = 2042
	TicketMismatch     Code = 2043
	RecordsFull        Code = 2044
)

// Codes of class unknown.
const (
	EndpointCut     Code = 3001
	EndpointTimeout Code = 3002
	AnswerCrossed   Code = 3003
	EndpointFailed  Code = 3004
	RefusalUnproven Code = 3005
	VMStopped       Code = 3006
	ExecutorGone    Code = 3010
	PeerLost        Code = 3011
	RecordLost      Code = 3012
)

// Codes of class refused, for documents and settings.
const (
	DocumentSyntax      Code = 4001
	DocumentUnknown     Code = 4002
	DocumentFormat      Code = 4003
	DocumentField       Code = 4004
	DocumentDuplicate   Code = 4005
	DocumentTooLarge    Code = 4006
	DocumentKey         Code = 4007
	SettingSyntax       Code = 5001
	SettingUnknownField Code = 5002
	SettingValue        Code = 5003
	SettingFile         Code = 5004
)

// Info describes a code. HTTPStatus is zero for codes that callers never receive.
type Info struct {
	Code       Code   `json:"code"`
	Name       string `json:"name"`
	Class      Class  `json:"class"`
	HTTPStatus int    `json:"http_status"`
	Meaning    string `json:"meaning"`
	// Advice says what the caller or operator should do.
	Advice string `json:"advice"`
}

// Table lists every code in ascending order.
var Table = []Info{
	row(Done, "done", ClassDone, http.StatusOK, "The call ran and this is its whole answer.", "No action needed."),
	row(Replayed, "replayed", ClassDone, http.StatusOK, "The ticket's call ran before; this is its recorded answer.", "No action needed."),
	row(FailurePassed, "failure_passed", ClassDone, http.StatusOK, "The call ran and this is the endpoint's own failure, as it gave it.", "Read the endpoint's status."),

	row(BadRequest, "bad_request", ClassNotRun, http.StatusBadRequest, "The request is malformed.", "Correct the request."),
	row(Unauthenticated, "unauthenticated", ClassNotRun, http.StatusUnauthorized, "The key is missing, unknown or ended.", "Use a valid key of the workspace."),
	row(BodyTooLarge, "body_too_large", ClassNotRun, http.StatusRequestEntityTooLarge, "The body is over the bound.", "Send a smaller body."),
	row(UnknownTarget, "unknown_target", ClassNotRun, http.StatusNotFound, "No such model or service.", "Correct the name."),
	row(UnknownRoute, "unknown_route", ClassNotRun, http.StatusNotFound, "No such path.", "Correct the path."),
	row(MethodNotAllowed, "method_not_allowed", ClassNotRun, http.StatusMethodNotAllowed, "The path does not take this method.", "Correct the method."),
	row(NotInContract, "not_in_contract", ClassNotRun, http.StatusForbidden, "The contract does not allow this model or service.", "Contact the operator."),
	row(BodyTooSlow, "body_too_slow", ClassNotRun, http.StatusRequestTimeout, "The body did not arrive in time.", "Retry."),
	row(NoCommonHome, "no_common_home", ClassNotRun, http.StatusServiceUnavailable, "No region is a home of both the route and the workspace.", "Do not retry; contact the operator."),
	row(LimitRequests, "limit_requests", ClassNotRun, http.StatusTooManyRequests, "The contract's requests per second are used up.", "Retry at the given time."),
	row(LimitTokens, "limit_tokens", ClassNotRun, http.StatusTooManyRequests, "The contract's tokens per second are used up.", "Retry at the given time."),
	row(LimitSpend, "limit_spend", ClassNotRun, http.StatusTooManyRequests, "The contract's spend per hour is used up.", "Retry at the given time."),
	row(LimitConcurrency, "limit_concurrency", ClassNotRun, http.StatusTooManyRequests, "The contract's calls in flight are all in use.", "Retry when a call has finished."),
	row(LimitNoShare, "limit_no_share", ClassNotRun, http.StatusServiceUnavailable, "This VM holds no share of the workspace's limit now.", "Use the listed VMs."),
	row(LimitBorrow, "limit_borrow", ClassNotRun, http.StatusTooManyRequests, "The contract's borrowing share is used up.", "Retry at the given time."),
	row(LimitEndpoint, "limit_endpoint", ClassNotRun, http.StatusServiceUnavailable, "The endpoints that could take the call have named a limit, which is used up, or want no requests for a time.", "Retry at the given time."),
	row(DeadlineUnmeetable, "deadline_unmeetable", ClassNotRun, http.StatusServiceUnavailable, "The deadline cannot be met now.", "Retry at the given time."),
	row(QueueFull, "queue_full", ClassNotRun, http.StatusServiceUnavailable, "Too many calls wait already.", "Retry at the given time."),
	row(NoEndpoint, "no_endpoint", ClassNotRun, http.StatusServiceUnavailable, "No endpoint of the target takes work in an allowed region.", "Retry at the given time."),
	row(DeadlinePassed, "deadline_passed", ClassNotRun, http.StatusGatewayTimeout, "The deadline passed before the call was sent.", "Retry with a later deadline."),
	row(NoSurplus, "no_surplus", ClassNotRun, http.StatusServiceUnavailable, "The other region has no surplus.", "Retry at the given time."),
	row(RetryBudget, "retry_budget", ClassNotRun, http.StatusServiceUnavailable, "The endpoint refused and the retry budget is spent.", "Retry at the given time."),
	row(EndpointRefused, "endpoint_refused", ClassNotRun, http.StatusServiceUnavailable, "The endpoint refused before running.", "Retry at the given time."),
	row(Quarantined, "quarantined", ClassNotRun, http.StatusBadGateway, "The endpoints that ran this very call, or calls with a part of its prompt, crashed, so it is not sent to others.", "Do not retry unchanged, nor send other calls with that part; contact the operator."),
	row(WrongVM, "wrong_vm", ClassNotRun, http.StatusMisdirectedRequest, "Another VM serves this workspace.", "Use the listed VMs."),
	row(WrongRegion, "wrong_region", ClassNotRun, http.StatusMisdirectedRequest, "The contract does not allow this region; the body was not read.", "Use the listed VMs."),
	row(Stopping, "stopping", ClassNotRun, http.StatusServiceUnavailable, "This VM is stopping.", "Use the listed VMs."),
	row(NotReady, "not_ready", ClassNotRun, http.StatusServiceUnavailable, "This VM has no configuration yet.", "Use another VM."),
	row(PeerUnreachable, "peer_unreachable", ClassNotRun, http.StatusServiceUnavailable, "The VM to forward to was not reached; nothing was sent.", "Use the listed VMs."),
	row(StreamUnknown, "stream_unknown", ClassNotRun, http.StatusServiceUnavailable, "Which software version began the stream to resume is not known, and another one's events would not fit.", "Send the request anew, without the last event."),
	row(VMSaturated, "vm_saturated", ClassNotRun, http.StatusServiceUnavailable, "This VM is short of CPU; the body was not read.", "Retry at the given time, at another VM if possible."),
	row(BodyMemoryFull, "body_memory_full", ClassNotRun, http.StatusServiceUnavailable, "Other bodies hold the memory of this VM that is set aside for them; the body was not kept.", "Retry at the given time, at another VM if possible."),
	row(RepeatForbidden, "repeat_forbidden", ClassNotRun, http.StatusServiceUnavailable, "The call may have run under an older configuration, and the current one lets it run once; it was not sent again.", "No action needed."),
	row(TicketRequired, "ticket_required", ClassNotRun, http.StatusPreconditionRequired, "A non-idempotent call needs a ticket; one is enclosed.", "Retry with the ticket."),
	row(TicketInvalid, "ticket_invalid", ClassNotRun, http.StatusBadRequest, "The ticket is malformed or not genuine.", "Request a new ticket."),
	row(TicketExpired, "ticket_expired", ClassNotRun, http.StatusGone, "The ticket's time is over and it was never used.", "Request a new ticket."),
	row(TicketMismatch, "ticket_mismatch", ClassNotRun, http.StatusConflict, "The ticket was used for another call.", "Request a new ticket."),
	row(RecordsFull, "records_full", ClassNotRun, http.StatusServiceUnavailable, "The VM cannot record one more answer.", "Retry at the given time."),

	row(EndpointCut, "endpoint_cut", ClassUnknown, http.StatusBadGateway, "The endpoint cut the answer short.", "The call may have run; check before retrying."),
	row(EndpointTimeout, "endpoint_timeout", ClassUnknown, http.StatusGatewayTimeout, "The deadline passed after the call was sent.", "The call may have run; check before retrying."),
	row(AnswerCrossed, "answer_crossed", ClassUnknown, http.StatusBadGateway, "The endpoint answered with another call's answer.", "The call may have run; check before retrying."),
	row(EndpointFailed, "endpoint_failed", ClassUnknown, http.StatusBadGateway, "The endpoint failed after the call was sent.", "The call may have run; check before retrying."),
	row(RefusalUnproven, "refusal_unproven", ClassUnknown, http.StatusBadGateway, "A refusal without the call's id came on a connection that was used before; it may be another call's.", "The call may have run; check before retrying."),
	row(VMStopped, "vm_stopped", ClassUnknown, http.StatusGatewayTimeout, "This VM stopped before the answer had ended.", "The call may have run; check before retrying."),
	row(ExecutorGone, "executor_gone", ClassUnknown, http.StatusBadGateway, "The ticket's executor is gone, or could not be asked.", "Retry with the same ticket; if that does not help, check before retrying."),
	row(PeerLost, "peer_lost", ClassUnknown, http.StatusBadGateway, "The VM that had the call was lost, or stopped.", "Retry with the same ticket; without one, check first."),
	row(RecordLost, "record_lost", ClassUnknown, http.StatusBadGateway, "The call ran or may have run, and its answer is no longer held.", "The call may have run; check before retrying."),

	row(DocumentSyntax, "document_syntax", ClassRefused, 0, "The document is not JSON with comments.", "Correct the reported location."),
	row(DocumentUnknown, "document_unknown", ClassRefused, 0, "The document has an unknown field.", "Remove or correct the field."),
	row(DocumentFormat, "document_format", ClassRefused, 0, "This build does not support the document's format version.", "Publish the supported format."),
	row(DocumentField, "document_field", ClassRefused, 0, "A field is missing or has an invalid value.", "Correct the reported field."),
	row(DocumentDuplicate, "document_duplicate", ClassRefused, 0, "A name or field occurs twice.", "Remove the duplicate."),
	row(DocumentTooLarge, "document_too_large", ClassRefused, 0, "The document is larger than 1 MiB.", "Use more buckets."),
	row(DocumentKey, "document_key", ClassRefused, 0, "The document's key is unknown.", "Publish under a known key."),
	row(SettingSyntax, "setting_syntax", ClassRefused, 0, "The settings file is not JSON with comments.", "Correct the reported location."),
	row(SettingUnknownField, "setting_unknown_field", ClassRefused, 0, "The settings file has an unknown field.", "Remove or correct the field."),
	row(SettingValue, "setting_value", ClassRefused, 0, "A setting is missing or has an invalid value.", "Correct the reported field."),
	row(SettingFile, "setting_file", ClassRefused, 0, "The settings file cannot be read.", "Correct the path or the file's permissions."),
}

func row(code Code, name string, class Class, status int, meaning, advice string) Info {
	return Info{
		Code:       code,
		Name:       name,
		Class:      class,
		HTTPStatus: status,
		Meaning:    meaning,
		Advice:     advice,
	}
}

// Lookup returns the description of a code; ok is false for an unknown code.
func Lookup(code Code) (info Info, ok bool) {
	info, ok = byCode[code]
	return info, ok
}

var byCode = indexByCode(Table)

func indexByCode(rows []Info) map[Code]Info {
	m := make(map[Code]Info, len(rows))
	for _, r := range rows {
		m[r.Code] = r
	}
	return m
}

// Class returns the code's class, or ClassUnknown for a code that is not in Table.
func (c Code) Class() Class {
	if info, ok := byCode[c]; ok {
		return info.Class
	}
	return ClassUnknown
}

// String returns the code's name.
func (c Code) String() string {
	if info, ok := byCode[c]; ok {
		return info.Name
	}
	return "unknown_code"
}
