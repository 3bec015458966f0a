//! Runs items on upstreams and cancels them there.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, header::CONTENT_TYPE};

use crate::{
    batch::message::Work,
    id::{Service, Upstream},
    node::Shared,
    time::Millis,
    upstream::{Call, Delivery, Failure, FailureKind},
};

use super::{
    message::{Event, Execution, ExecutionEnd},
    request, schedule, task,
};

/// Timeout of a call to a plain service that has none in the configuration.
const CALL_TIMEOUT: Millis = Millis(30_000);
/// Maximum number of cancel requests sent until the engine confirms one.
const CANCEL_ATTEMPTS: u32 = 5;
/// Delay between two cancel requests.
const CANCEL_RETRY_DELAY: Millis = Millis(50);
/// Age below which a cancelled stream's request may reach the engine after the cancel does.
const RECENT_START_AGE: Millis = Millis(500);
/// Delay before the cancel of such a stream is repeated.
const REPEAT_CANCEL_DELAY: Millis = Millis(100);
/// Attempts to reach an upstream before it counts as crashed.
const PROBE_ATTEMPTS: u32 = 3;
const PROBE_RETRY_DELAY: Millis = Millis(100);

/// Runs one execution to its end and applies [`Event::Ended`].
pub(crate) async fn run(
    context: Shared,
    execution: Execution,
    address: Option<SocketAddr>,
    work: Work,
    text: Vec<String>,
) {
    let end = match (address, &work.model) {
        (Some(address), Some(_)) => stream(&context, &execution, address, &work, text).await,
        (Some(address), None) => call(&context, address, &work).await,
        (None, _) => ExecutionEnd::NotRun { reason: "the replica has left".to_string() },
    };
    context.batch.runner.inner.executions.lock().unwrap().remove(&execution);
    task::apply(&context, Event::Ended { execution, end });
    context.batch.runner.inner.changed.notify_waiters();
}

/// Cancels a stream at its engine and applies [`Event::Cancelled`].
pub(crate) async fn cancel(
    context: Shared,
    execution: Execution,
    upstream: Upstream,
    address: Option<SocketAddr>,
    age: Millis,
) {
    let stream_id = execution.stream_id();
    if let Some(address) = address {
        cancel_at(&context, address, &stream_id).await;
    }
    task::apply(&context, Event::Cancelled { upstream, execution });
    context.batch.runner.inner.changed.notify_waiters();
    if let Some(address) = address
        && age < RECENT_START_AGE
    {
        tokio::time::sleep(REPEAT_CANCEL_DELAY.duration()).await;
        cancel_at(&context, address, &stream_id).await;
    }
}

async fn cancel_at(context: &Shared, address: SocketAddr, stream_id: &str) {
    for _ in 0..CANCEL_ATTEMPTS {
        match context.upstreams.cancel(address, stream_id).await {
            Ok(()) => return,
            Err(error) => {
                log::debug!("batch runner: cancelling stream {stream_id} failed: {error}")
            }
        }
        tokio::time::sleep(CANCEL_RETRY_DELAY.duration()).await;
    }
}

async fn stream(
    context: &Shared,
    execution: &Execution,
    address: SocketAddr,
    work: &Work,
    text: Vec<String>,
) -> ExecutionEnd {
    let generate = match request::generate_request(execution, work, text) {
        Ok(generate) => generate,
        Err(error) => return ExecutionEnd::Invalid { reason: error.to_string() },
    };
    let mut events = match context.upstreams.generate(address, generate).await {
        Ok(events) => events,
        Err(failure) => return classify_failure(context, address, failure).await,
    };
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(failure) => return classify_failure(context, address, failure).await,
        };
        if let Some(reason) = event.finish {
            let last = Some((event.index, event.text));
            return ExecutionEnd::Finished {
                last,
                reason,
                created: context.clock.wall_time().0 / 1_000,
            };
        }
        let token =
            Event::Token { execution: execution.clone(), index: event.index, text: event.text };
        task::apply(context, token);
    }
    ExecutionEnd::Interrupted { reason: "the stream ended early".to_string() }
}

async fn call(context: &Shared, address: SocketAddr, work: &Work) -> ExecutionEnd {
    let Some(service) = schedule::service_name(&work.url) else {
        return ExecutionEnd::Invalid { reason: format!("{} is no path of a service", work.url) };
    };
    let path = work.url.splitn(4, '/').nth(3).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = Call {
        method: Method::POST,
        path: format!("/{path}"),
        headers,
        body: Bytes::from(work.body.clone()),
        timeout: call_timeout(context, service),
    };
    match context.upstreams.call(address, call).await {
        Ok(answer) => ExecutionEnd::Answered {
            status: answer.status.as_u16(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(failure) => classify_failure(context, address, failure).await,
    }
}

fn call_timeout(context: &Shared, service: &str) -> Millis {
    let service = Service(service.to_string());
    let in_force = context.config.current();
    let mut specs =
        in_force.document.pieces.values().filter_map(|piece| piece.services.get(&service));
    specs.next().map_or(CALL_TIMEOUT, |spec| Millis(spec.timeout_ms))
}

/// Classifies a failure. If the connection broke, checks whether the upstream still accepts
/// connections.
async fn classify_failure(context: &Shared, address: SocketAddr, failure: Failure) -> ExecutionEnd {
    let reason = failure.message;
    if failure.kind == FailureKind::Refused || failure.delivery == Delivery::NotSent {
        return ExecutionEnd::NotRun { reason };
    }
    if matches!(failure.kind, FailureKind::Failed | FailureKind::TimedOut) {
        return ExecutionEnd::Failed { reason };
    }
    match is_listening(context, address).await {
        true => ExecutionEnd::Interrupted { reason },
        false => ExecutionEnd::Crashed { reason },
    }
}

/// Whether the upstream accepts connections. Any response to a load report request proves it.
async fn is_listening(context: &Shared, address: SocketAddr) -> bool {
    for _ in 0..PROBE_ATTEMPTS {
        match context.upstreams.report(address).await {
            Err(failure) if failure.delivery == Delivery::NotSent => {}
            Ok(_) | Err(_) => return true,
        }
        tokio::time::sleep(PROBE_RETRY_DELAY.duration()).await;
    }
    false
}
