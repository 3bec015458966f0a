//! The two kinds of work that are sent to upstreams, with a common stream of progress.

use std::net::SocketAddr;

use futures_util::{
    StreamExt, TryStreamExt,
    stream::{self, BoxStream},
};
use opentelemetry::trace::SpanKind;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    gateway::completions::DEADLINE_HEADER,
    node::Shared,
    telemetry::trace,
    time::Millis,
    upstream::{Answer, Call, Event, Failure, Generate},
};

use super::{Generation, ServiceCall};

/// Length of the prompt's prefix whose hash tells which replica is likely to have it cached.
const PREFIX_BYTES: usize = 256;

/// A part of a response of an upstream.
#[derive(Clone, Debug)]
pub(super) enum Progress {
    Event(Event),
    Answer(Answer),
}

/// Progress of one attempt, until the response ends or a failure.
pub(super) type ProgressStream = BoxStream<'static, Result<Progress, Failure>>;

/// A generation or a service call to send.
#[derive(Clone, Debug)]
pub(super) enum Work {
    Generate(Generation),
    Call(ServiceCall),
}

impl Work {
    /// The model that the replica must have loaded.
    pub(super) fn model(&self) -> Option<String> {
        match self {
            Work::Generate(generation) => Some(generation.model.to_string()),
            Work::Call(_) => None,
        }
    }

    /// Hash of the beginning of the prompt.
    pub(super) fn prefix(&self) -> Option<u64> {
        let Work::Generate(generation) = self else { return None };
        let prompt = generation.prompt.as_bytes();
        Some(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]))
    }

    pub(super) fn deadline(&self) -> Millis {
        match self {
            Work::Generate(generation) => generation.deadline,
            Work::Call(call) => call.deadline,
        }
    }

    /// Sends the work. A generation is resumed after the events in `delivered`.
    pub(super) fn send(
        &self,
        context: &Shared,
        address: SocketAddr,
        delivered: &[String],
    ) -> ProgressStream {
        match self {
            Work::Generate(generation) => generate(context, address, generation, delivered),
            Work::Call(call) => send_call(context, address, call),
        }
    }

    /// Whether the upstream at the address responds to a health check.
    pub(super) async fn is_alive(&self, context: &Shared, address: SocketAddr) -> bool {
        let report = match self {
            Work::Generate(_) => context.upstreams.report(address).await,
            Work::Call(_) => context.upstreams.service_report(address).await,
        };
        report.is_ok()
    }

    /// Cancels a generation at its engine in the background. Calls can't be cancelled.
    pub(super) fn cancel(&self, context: &Shared, address: SocketAddr) {
        let Work::Generate(generation) = self else { return };
        let (context, id) = (context.clone(), generation.id.clone());
        tokio::spawn(async move {
            if let Err(failure) = context.upstreams.cancel(address, &id).await {
                log::debug!("attempt: stream {id} was not cancelled: {failure}");
            }
        });
    }
}

fn generate(
    context: &Shared,
    address: SocketAddr,
    generation: &Generation,
    delivered: &[String],
) -> ProgressStream {
    let span = trace::hop("attempt.generate", SpanKind::Client, &generation.trace);
    let request = Generate {
        id: generation.id.clone(),
        model: generation.model.to_string(),
        prompt: generation.prompt.clone(),
        max_tokens: generation.max_tokens,
        from: delivered.len() as u32,
        resume_text: delivered.to_vec(),
    };
    let upstreams = context.upstreams.clone();
    let response = async move { upstreams.generate(address, request).await };
    stream::once(response)
        .try_flatten()
        .inspect_err(move |failure| trace::fail(&span, &failure.message))
        .map_ok(Progress::Event)
        .boxed()
}

fn send_call(context: &Shared, address: SocketAddr, call: &ServiceCall) -> ProgressStream {
    let span = trace::hop("attempt.call", SpanKind::Client, &call.trace);
    let mut headers = call.headers.clone();
    trace::inject(&span, &mut headers);
    let timeout = call.deadline - context.clock.now();
    headers.insert(DEADLINE_HEADER, timeout.0.into());
    let request = Call {
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
        timeout,
    };
    let upstreams = context.upstreams.clone();
    stream::once(async move { upstreams.call(address, request).await })
        .inspect_err(move |failure| trace::fail(&span, &failure.message))
        .map_ok(Progress::Answer)
        .boxed()
}
