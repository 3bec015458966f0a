//! Runs items at upstreams and ends them there.

use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, HeaderValue, Method, header::CONTENT_TYPE};

use crate::{
    batch::message::Work,
    id::{Service, Upstream},
    node::Shared,
    time::Millis,
    upstream::{Call, Delivery, Failure},
};

use super::{
    message::{Event, Fate, Start},
    request, schedule, task,
};

/// Time that a call to a plain service may take when the document names none.
const CALL_TIMEOUT: Millis = Millis(30_000);
/// Times that the cancel of a stream is sent until the engine confirms it.
const CANCEL_ATTEMPTS: u32 = 5;
/// Wait between two attempts to cancel.
const CANCEL_WAIT: Millis = Millis(50);
/// A stream cancelled younger than this may reach its engine after the cancel does.
const YOUNG: Millis = Millis(500);
/// Wait before the cancel of a young stream is repeated.
const YOUNG_WAIT: Millis = Millis(100);
/// Attempts to reach an upstream before it counts as dead.
const PROBES: u32 = 3;
const PROBE_WAIT: Millis = Millis(100);

/// Runs one start to its end and tells the state.
pub(crate) async fn run(
    context: Shared,
    start: Start,
    address: Option<SocketAddr>,
    work: Work,
    text: Vec<String>,
) {
    let fate = match (address, &work.model) {
        (Some(address), Some(_)) => stream(&context, &start, address, &work, text).await,
        (Some(address), None) => call(&context, address, &work).await,
        (None, _) => Fate::NotRun { reason: "the replica has left".to_string() },
    };
    context.batch.runner.edge.starts.lock().unwrap().remove(&start);
    task::feed(&context, Event::Ended { start, fate });
    context.batch.runner.edge.changed.notify_waiters();
}

/// Ends a stream at its engine and tells the state.
pub(crate) async fn cancel(
    context: Shared,
    start: Start,
    upstream: Upstream,
    address: Option<SocketAddr>,
    age: Millis,
) {
    let stream = start.stream();
    if let Some(address) = address {
        cancel_at(&context, address, &stream).await;
    }
    task::feed(&context, Event::Vacated { upstream, start });
    context.batch.runner.edge.changed.notify_waiters();
    if let Some(address) = address
        && age < YOUNG
    {
        tokio::time::sleep(YOUNG_WAIT.duration()).await;
        cancel_at(&context, address, &stream).await;
    }
}

async fn cancel_at(context: &Shared, address: SocketAddr, stream: &str) {
    for _ in 0..CANCEL_ATTEMPTS {
        match context.upstreams.cancel(address, stream).await {
            Ok(()) => return,
            Err(error) => log::debug!("batch runner: cancel of {stream} failed: {error}"),
        }
        tokio::time::sleep(CANCEL_WAIT.duration()).await;
    }
}

async fn stream(
    context: &Shared,
    start: &Start,
    address: SocketAddr,
    work: &Work,
    text: Vec<String>,
) -> Fate {
    let generate = match request::generate(start, work, text) {
        Ok(generate) => generate,
        Err(error) => return Fate::Invalid { reason: error.to_string() },
    };
    let mut events = match context.upstreams.generate(address, generate).await {
        Ok(events) => events,
        Err(failure) => return fate(context, address, failure).await,
    };
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(failure) => return fate(context, address, failure).await,
        };
        if let Some(reason) = event.finish {
            let last = Some((event.index, event.text));
            return Fate::Finished { last, reason, created: context.clock.wall_time().0 / 1_000 };
        }
        let token = Event::Token { start: start.clone(), index: event.index, text: event.text };
        task::feed(context, token);
    }
    Fate::Broken { reason: "the stream ended early".to_string() }
}

async fn call(context: &Shared, address: SocketAddr, work: &Work) -> Fate {
    let Some(service) = schedule::service(&work.url) else {
        return Fate::Invalid { reason: format!("{} is no path of a service", work.url) };
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
        Ok(answer) => Fate::Answered {
            status: answer.status.as_u16(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(failure) => fate(context, address, failure).await,
    }
}

fn call_timeout(context: &Shared, service: &str) -> Millis {
    let service = Service(service.to_string());
    let in_force = context.config.current();
    let mut specs =
        in_force.document.pieces.values().filter_map(|piece| piece.services.get(&service));
    specs.next().map_or(CALL_TIMEOUT, |spec| Millis(spec.timeout_ms))
}

/// What a failure says of the run, after a look at whether the upstream still listens.
async fn fate(context: &Shared, address: SocketAddr, failure: Failure) -> Fate {
    let reason = failure.message;
    if failure.refused || failure.delivery == Delivery::NotSent {
        return Fate::NotRun { reason };
    }
    match listens(context, address).await {
        true => Fate::Broken { reason },
        false => Fate::Died { reason },
    }
}

/// Whether the upstream accepts connections. Any answer to the load report will do.
async fn listens(context: &Shared, address: SocketAddr) -> bool {
    for _ in 0..PROBES {
        match context.upstreams.report(address).await {
            Err(failure) if failure.delivery == Delivery::NotSent => {}
            Ok(_) | Err(_) => return true,
        }
        tokio::time::sleep(PROBE_WAIT.duration()).await;
    }
    false
}
