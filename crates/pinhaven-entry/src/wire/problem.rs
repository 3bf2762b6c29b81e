//! Refusals as problem details (RFC 9457).
//!
//! Each refusal states whether the request ran, and when the caller may retry.

use crate::wire::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use pinhaven_decide::Refusal;
use pinhaven_decide::RefusalReason;
use pinhaven_decide::RunState;
use pinhaven_runtime::AnyBody;
use pinhaven_runtime::whole_body;

/// Retry delay for a caller whose request was invalid, in milliseconds.
const RETRY_AFTER_INVALID_REQUEST_MS: u64 = 1_000;

/// Final answer by the entry itself instead of a target.
#[derive(Debug, Clone)]
pub(crate) struct Problem {
    pub(crate) status: StatusCode,
    pub(crate) reason: &'static str,
    pub(crate) detail: String,
    pub(crate) run_state: RunState,
    pub(crate) retry_after_ms: u64,
}

impl Problem {
    /// Creates a problem for a request that did not run.
    pub(crate) fn not_run(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            status,
            reason,
            detail: detail.into(),
            run_state: RunState::NotRun,
            retry_after_ms: RETRY_AFTER_INVALID_REQUEST_MS,
        }
    }

    /// Creates a problem for a request that may or may not have run.
    pub(crate) fn unknown(
        status: StatusCode,
        reason: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            run_state: RunState::Unknown,
            ..Self::not_run(status, reason, detail)
        }
    }

    pub(crate) fn with_run_state(mut self, run_state: RunState) -> Self {
        self.run_state = run_state;
        self
    }

    pub(crate) fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = retry_after_ms;
        self
    }

    /// Builds the HTTP response.
    pub(crate) fn into_response(self) -> Response<AnyBody> {
        let body = serde_json::json!({
            "type": format!("https://pinhaven.example/problems/{}", self.reason),
            "title": self.reason,
            "status": self.status.as_u16(),
            "detail": self.detail,
            "run": self.run_state.name(),
            "retry_after_ms": self.retry_after_ms,
        });
        let mut response = Response::new(whole_body(body.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(header::RUN, HeaderValue::from_static(self.run_state.name()));
        let seconds = self.retry_after_ms.div_ceil(1_000).max(1);
        headers.insert(http::header::RETRY_AFTER, seconds.into());
        headers.insert(header::RETRY_AFTER_MS, self.retry_after_ms.into());
        if self.status == StatusCode::UNAUTHORIZED {
            let challenge = HeaderValue::from_static("Bearer");
            headers.insert(http::header::WWW_AUTHENTICATE, challenge);
        }
        response
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let (status, detail) = describe(refusal.reason);
        // 502 (Bad Gateway) leaves open whether the request ran, so that 503 is used if it is known not to have run.
        let is_not_run = refusal.run_state == RunState::NotRun;
        let status = if is_not_run && status == StatusCode::BAD_GATEWAY {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            status
        };
        Self {
            status,
            reason: refusal.reason.name(),
            detail: detail.to_owned(),
            run_state: refusal.run_state,
            retry_after_ms: refusal.retry_after_ms,
        }
    }
}

fn describe(reason: RefusalReason) -> (StatusCode, &'static str) {
    match reason {
        RefusalReason::DeadlinePast => (
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline had passed on arrival",
        ),
        RefusalReason::NoTimeLeft => (
            StatusCode::SERVICE_UNAVAILABLE,
            "an answer would come after the deadline",
        ),
        RefusalReason::Overloaded => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the targets of the service are busy",
        ),
        RefusalReason::EntryFull => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry is busy with requests of higher priority",
        ),
        RefusalReason::NoTarget => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the service has no target that may take the request",
        ),
        RefusalReason::Drained => (
            StatusCode::SERVICE_UNAVAILABLE,
            "operators have drained the failure domains of the service's targets",
        ),
        RefusalReason::Resting => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the targets of the service asked for rest",
        ),
        RefusalReason::Shed => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the targets turned the request away",
        ),
        RefusalReason::Unreachable => (StatusCode::BAD_GATEWAY, "no target could be reached"),
        RefusalReason::Broken => (
            StatusCode::BAD_GATEWAY,
            "a target took the request and did not answer whole",
        ),
        RefusalReason::EntryStopping => (
            StatusCode::BAD_GATEWAY,
            "this entry stops and can't wait for the target any longer",
        ),
        RefusalReason::StopTooNear => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry stops before the request would certainly end; another entry can take it",
        ),
        RefusalReason::HeldBack => (
            StatusCode::BAD_GATEWAY,
            "targets crashed while they ran this request",
        ),
        RefusalReason::ForwardRefused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "this entry reaches no target, and another entry refused the request",
        ),
        RefusalReason::DeadlineCame => (
            StatusCode::GATEWAY_TIMEOUT,
            "the deadline came while a target had the request",
        ),
    }
}
