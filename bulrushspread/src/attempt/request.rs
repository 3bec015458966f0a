//! Requests as the gateway hands them over.

use bytes::Bytes;
use http::{HeaderMap, Method};
use opentelemetry::Context;

use crate::{
    id::{Model, Service},
    time::Millis,
};

use super::Fingerprint;

/// A generation by a model engine.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    /// Unique id of the stream at the engines.
    pub(crate) id: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) model: Model,
    pub(crate) prompt: String,
    pub(crate) prompt_tokens: u32,
    pub(crate) max_tokens: u32,
    pub(crate) deadline: Millis,
    /// The span that the request belongs to.
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
    /// The span that the call belongs to.
    pub(crate) trace: Context,
}
