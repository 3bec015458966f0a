//! HTTP/1.1 client for upstreams, with a pool of reusable connections.

mod call;
mod meter;
mod passthrough;
mod pool;

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri, header::AUTHORIZATION};

use crate::{
    balance::{Stated, limit::Rate},
    id::Workspace,
    parts::Prompt,
    tenure::Tenure,
    time::Millis,
};

pub use call::{Answer, Body, Delivery, Failure, FailureKind};
pub(crate) use call::{Forwarded, forwarder, is_unframed};
pub use passthrough::Passthrough;
pub use pool::{Pool, Settings};

pub type Result<T> = std::result::Result<T, Failure>;

/// A request to an upstream, with the headers of the caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Attempt ID from the caller, which upstreams echo in the response.
    pub id: String,
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Host of the caller's request.
    pub host: String,
    /// Headers without the hop-by-hop ones and without those that [`Codec::encode`] sets.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// The workspace that the request belongs to, as the upstream is told.
    pub workspace: Option<Workspace>,
}

/// Options of one send of a request; they differ between the attempts.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The intended upstream; another one at its address refuses the request.
    pub upstream: &'a crate::id::Upstream,
    /// Time after which the upstream may abort the request.
    pub deadline: Option<Duration>,
    /// Index of the last event that the caller has; the stream resumes after it.
    pub resume_after: Option<u64>,
    /// The tenure under which the request is sent, at the end of which it no longer may be.
    pub tenure: Option<&'a Tenure>,
}

/// Protocol information from the head of a response, as decoded by a [`Codec`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// ID of the request that the response belongs to, if the upstream echoed one.
    pub request: Option<String>,
    /// The response carries the seal by which an upstream confirms that the response is its own.
    pub is_authentic: bool,
    /// The upstream did not run the request and never will.
    pub not_run: bool,
    /// The address belongs to another upstream than the intended one.
    pub misdirected: bool,
    /// The response promises that the request has not run. On a connection that has carried other
    /// requests it counts only if it names the request.
    pub is_promise: bool,
    /// Time for which the upstream keeps an idle connection open.
    pub keep_alive: Option<Millis>,
    /// The upstream closes the connection after this response.
    pub closes_connection: bool,
    /// The upstream's process is about to stop, and should get no more requests.
    pub is_leaving: bool,
    pub limit: Limit,
    /// The load that the upstream states.
    pub load: Option<Stated>,
}

impl Head {
    /// Whether the upstream has answered this request, and not another one or in place of another
    /// upstream.
    pub(crate) fn belongs_to(&self, request: &Request) -> bool {
        !self.misdirected && self.request.as_ref().is_none_or(|id| *id == request.id)
    }
}

/// What a response says about the rate of requests that the upstream takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The response names no limit.
    #[default]
    None,
    Rate(Rate),
    /// The response names something that is no rate.
    Invalid,
}

/// Translates between requests and responses and the headers of a protocol.
pub trait Codec: std::marker::Send + Sync {
    /// Returns all headers of the request to the upstream.
    fn encode(&self, request: &Request, options: Options<'_>) -> HeaderMap;

    /// Removes the headers by which a request could name a workspace or present a key.
    fn remove_identity(&self, headers: &mut HeaderMap) {
        headers.remove(AUTHORIZATION);
    }

    /// Reads the parts of the prompt from the headers of a request.
    fn read_prompt(&self, headers: &HeaderMap) -> Prompt;

    /// Reads the protocol information from the head of a response.
    fn decode(&self, head: &http::response::Parts) -> Head;

    /// Where an upstream reports on itself, if it does.
    fn report_target(&self) -> Option<Uri> {
        None
    }

    /// Start of the upstream's process in Unix milliseconds, if the report states it.
    fn read_started(&self, _report: &[u8]) -> Option<u64> {
        None
    }
}
