//! Requests that the gateway passes on to upstreams.

use bytes::Bytes;
use http::{HeaderMap, Method};
use opentelemetry::Context;

use crate::{
    id::{Model, Service},
    time::Millis,
};

use super::Fingerprint;

/// A request for generated text from a model engine.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// Identifies the stream at the engines. Unique.
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) model: Model,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) deadline: Millis,
    /// Trace context of the request.
    pub(crate) trace: Context,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceCall {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) service: Service,
    pub(crate) method: Method,
    /// Path and query at the upstream.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The caller's idempotency key.
    pub(crate) key: Option<String>,
    pub(crate) deadline: Millis,
    /// Trace context of the call.
    pub(crate) trace: Context,
}
