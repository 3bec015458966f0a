//! The edge towards model engines and plain services.

pub mod http;

use std::{net::SocketAddr, sync::Arc};

use ::http::{HeaderMap, Method, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use serde::{Deserialize, Serialize};

use crate::time::Millis;

pub type Result<T> = std::result::Result<T, Failure>;
pub type Shared = Arc<dyn Client>;

/// How far a call got before it failed. Decides whether it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// No byte of the request was sent (the connection could not be made).
    #[serde(rename = "Nothing")]
    NotSent,
    /// Bytes were sent; the upstream may have run the request.
    Sent,
}

/// Why a call gave no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The upstream refused explicitly without running the request (for example 429).
    Refused,
    /// The upstream answered with another status than success, or with an invalid event.
    Failed,
    /// No answer came in time.
    TimedOut,
    /// The connection could not be made or broke.
    Disconnected,
}

/// A call that gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    pub delivery: Delivery,
    pub kind: FailureKind,
    pub message: String,
}

/// A call to a plain service, passed through as it came.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub timeout: Millis,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A generation at a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Unique id of the stream; resume and cancel name it.
    pub id: String,
    pub model: String,
    pub prompt: String,
    pub max_tokens: u32,
    /// The first index wanted: 0 for a new stream. With `resume_text` another engine continues it.
    pub from: u32,
    /// The tokens already delivered, for an engine that never saw this stream.
    pub resume_text: Vec<String>,
}

/// One event of a stream of tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Grows by one for each event of the stream, counted from zero.
    pub index: u32,
    pub text: String,
    /// `stop` or `length` on the last event.
    pub finish: Option<String>,
}

/// What an engine says of its load. It lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequences in the running batch.
    pub active: u32,
    /// Requests admitted but not yet in the running batch.
    pub queued: u32,
    /// The running batch's limit.
    pub slots: u32,
    /// Models, adapters (`model:adapter`) and versions that are loaded.
    pub loaded: Vec<String>,
    /// Age of the report in milliseconds, as the engine states it.
    pub age_ms: u64,
    /// The engine is being taken down.
    pub leaving: bool,
}

/// An order to an engine, with the fencing number of who gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    Load { model: String },
    Unload { model: String },
    Role { role: String },
}

/// Upstreams as the slices call them.
#[async_trait]
pub trait Client: Send + Sync {
    /// Calls a plain service. The upstream's own error statuses are answers, not failures.
    async fn call(&self, address: SocketAddr, call: Call) -> Result<Answer>;

    /// Starts or resumes a stream. Events follow in order of index from `generate.from`.
    async fn generate(
        &self,
        address: SocketAddr,
        generate: Generate,
    ) -> Result<BoxStream<'static, Result<Event>>>;

    /// Cancels a stream. Cancelling an unknown stream succeeds.
    async fn cancel(&self, address: SocketAddr, id: &str) -> Result<()>;

    /// Asks an engine for its load report.
    async fn report(&self, address: SocketAddr) -> Result<Report>;

    /// Asks a plain service for its load report.
    async fn service_report(&self, address: SocketAddr) -> Result<Report> {
        self.report(address).await
    }

    /// Gives an order with fencing number `fence`.
    async fn order(&self, address: SocketAddr, order: Order, fence: u64) -> Result<()>;
}
