//! Attribution of a received answer to the request that waits for it.
//!
//! A target may send an extra answer late, in the place of the answer to the next request on the connection. Attribution
//! is the first step for every status, so that no other code can mistake what such an answer says of its own request:
//!
//! | answer | decides on this request | load and orders | identity of the target |
//! |---|---|---|---|
//! | own | yes | applied | - |
//! | own, from another target at the address | yes: not run | ignored: they are the other target's | replaced |
//! | of another request | no: this one may run | applied | - |
//! | of another request, from another target | no: this one may run | ignored | - |
//!
//! Interim answers (1xx) are skipped by the HTTP client and decide nothing.

use crate::wire::dialect::AnswerFacts;
use crate::wire::dialect::Dialect;
use crate::wire::rest::ReceivedOrders;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use pinhaven_bundle::Service;
use pinhaven_decide::LoadReport;

/// Facts of an answer that belongs to the request. Only attribution creates them, and only they decide on further
/// attempts.
#[derive(Debug)]
pub(crate) struct OwnFacts(AnswerFacts);

impl std::ops::Deref for OwnFacts {
    type Target = AnswerFacts;

    fn deref(&self) -> &AnswerFacts {
        &self.0
    }
}

/// What an answer says of the target, whichever request it belongs to.
#[derive(Debug, Default)]
pub(crate) struct TargetFacts {
    pub(crate) report: Option<LoadReport>,
    pub(crate) orders: ReceivedOrders,
}

/// An answer whose request is known.
#[derive(Debug)]
pub(crate) enum Attribution {
    /// The answer belongs to the request.
    Own(OwnFacts, TargetFacts),
    /// The answer belongs to another request, or does not say to which.
    Foreign(TargetFacts),
}

impl Attribution {
    /// Attributes an answer to the request with `id`.
    pub(crate) fn new(
        dialect: &dyn Dialect,
        service: &Service,
        id: Option<&HeaderValue>,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Self {
        let facts = dialect.read_answer(status, headers, service);
        let target = match facts.is_other_target {
            true => TargetFacts::default(),
            false => TargetFacts {
                report: facts.report,
                orders: dialect.read_orders(status, headers),
            },
        };
        match dialect.is_answer_to(headers, id, service) {
            true => Self::Own(OwnFacts(facts), target),
            false => Self::Foreign(target),
        }
    }
}
