//! `POST /v1/chat/completions` and `POST /v1/completions`, whole or streamed.

use bytes::Bytes;
use dropshot::{Body, RequestContext, StreamingBody, endpoint};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Response, StatusCode};
use opentelemetry::trace::SpanKind;
use tokio::sync::mpsc::Receiver;
use uuid::Uuid;

use crate::{
    attempt::{Fingerprint, Generation},
    error::{self, Error, Kind},
    node::Shared,
    telemetry::trace,
    time::Millis,
    upstream::Event,
};

use super::{
    answer::{self, Outcome},
    auth, body,
    openai::{Head, Request, Shape, prompt_tokens},
};

/// The header that names how many milliseconds the caller waits for the answer.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline-ms";

#[endpoint { method = POST, path = "/v1/chat/completions", unpublished = true }]
pub(super) async fn create_chat_completion(
    request: RequestContext<Shared>,
    body: StreamingBody,
) -> Outcome {
    answer::of(complete(&request, body, Shape::Chat).await)
}

#[endpoint { method = POST, path = "/v1/completions", unpublished = true }]
pub(super) async fn create_completion(
    request: RequestContext<Shared>,
    body: StreamingBody,
) -> Outcome {
    answer::of(complete(&request, body, Shape::Text).await)
}

/// When the caller's deadline passes, on this node's clock.
pub(super) fn deadline(context: &Shared, headers: &HeaderMap) -> error::Result<Millis> {
    let default = Millis(context.settings.gateway.deadline_ms);
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(context.clock.now() + default);
    };
    let span = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let span = span.ok_or_else(|| {
        Error::new(Kind::BadRequest, format!("{DEADLINE_HEADER} is not a number of milliseconds"))
    })?;
    Ok(context.clock.now() + Millis(span))
}

async fn complete(
    request: &RequestContext<Shared>,
    body: StreamingBody,
    shape: Shape,
) -> error::Result<Response<Body>> {
    let context = request.context();
    let headers = request.request.headers();
    let trace = trace::hop("gateway.completion", SpanKind::Server, &trace::extract(headers));
    let caller = auth::authenticate(context, headers)?;
    let deadline = deadline(context, headers)?;
    let bytes = body::read(body, &context.settings.gateway).await?;
    let asked: Request = serde_json::from_slice(&bytes)
        .map_err(|error| Error::new(Kind::BadRequest, format!("the body is not valid: {error}")))?;
    let prompt = asked.prompt(shape);
    let prompt_tokens = prompt_tokens(&prompt);
    let id = Uuid::new_v4().simple().to_string();
    let generation = Generation {
        id: id.clone(),
        fingerprint: Fingerprint::of(&caller.workspace, &bytes),
        model: asked.model.as_str().into(),
        prompt,
        prompt_tokens,
        max_tokens: asked.max_tokens(),
        deadline,
        trace: trace.clone(),
    };
    let mut events = context.attempt.generate(context, caller, generation).await?;
    let head = Head {
        id: format!("cmpl-{id}"),
        created: context.clock.wall_time().0 / 1_000,
        model: asked.model.clone(),
        shape,
    };
    if asked.stream {
        return stream_answer(head, events).await;
    }
    let mut whole = Vec::new();
    while let Some(event) = events.recv().await {
        whole.push(event?);
    }
    Ok(answer::json(StatusCode::OK, &head.whole(prompt_tokens, &whole)))
}

/// Streams the events. A failure before the first one is still a plain refusal.
async fn stream_answer(
    head: Head,
    mut events: Receiver<error::Result<Event>>,
) -> error::Result<Response<Body>> {
    let Some(first) = events.recv().await else {
        return Err(Error::new(Kind::Internal, "the stream ended before its first event"));
    };
    let first = head.chunk(first?);
    let first = stream::iter([answer::event(&first)]);
    let rest = stream::unfold((head, Some(events)), |(head, events)| async move {
        let mut events = events?;
        match events.recv().await {
            Some(Ok(event)) => Some((answer::event(&head.chunk(event)), (head, Some(events)))),
            Some(Err(error)) => Some((failure(&error), (head, None))),
            None => Some((answer::done(), (head, None))),
        }
    });
    Ok(answer::events(first.chain(rest)))
}

fn failure(error: &Error) -> Bytes {
    answer::event(&error.body())
}
