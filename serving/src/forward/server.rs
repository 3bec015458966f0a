//! Forwards requests of other nodes to the upstreams that these have chosen.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{self, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderName, Request, Response, StatusCode,
    header::{CONTENT_LENGTH, HOST},
};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};
use tokio_stream::Stream;

use crate::{
    balance::{Class, Pick},
    exchange::{Context, Truncated},
    id::{Upstream, Version},
    parts::Prompt,
    tenure::{Claim, Tenure},
    time::Millis,
    uplink::{self, Health, Sign},
    upstream::{self, Body, Codec, Delivery, FailureKind, Head, Options},
};

use super::message::{
    self, CLAIM, LEAVING, OUTCOME, Outcome, PROBE, REQUEST, RETRYABLE, TIMEOUT, UNFRAMED, UPSTREAM,
};

/// Limit on the duration of a request whose sender names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Sends the headers of a request unchanged, and leaves what a response means to the sender of the
/// request, except for what concerns the connection.
struct Verbatim<'a>(&'a dyn Codec);

impl Codec for Verbatim<'_> {
    fn encode(&self, request: &upstream::Request, _: Options<'_>) -> HeaderMap {
        request.headers.clone()
    }

    fn read_prompt(&self, headers: &HeaderMap) -> Prompt {
        self.0.read_prompt(headers)
    }

    fn decode(&self, parts: &http::response::Parts) -> Head {
        let head = self.0.decode(parts);
        Head { is_authentic: true, not_run: false, misdirected: false, ..head }
    }
}

/// The body of a forwarded response. Dropping it cancels the request at the upstream.
pub struct Chunks {
    /// The next chunk; `None` after the end.
    next: Option<Next>,
    deadline: Instant,
    _permit: Option<OwnedSemaphorePermit>,
}

type Next = Pin<Box<dyn Future<Output = (Body, upstream::Result<Option<Bytes>>)> + Send>>;

impl Chunks {
    fn new(body: Body, deadline: Instant, permit: OwnedSemaphorePermit) -> Chunks {
        Chunks { next: Some(next_chunk(body, deadline)), deadline, _permit: Some(permit) }
    }

    fn empty() -> Chunks {
        Chunks { next: None, deadline: Instant::now(), _permit: None }
    }
}

fn next_chunk(mut body: Body, deadline: Instant) -> Next {
    Box::pin(async move {
        let chunk = match timeout_at(deadline, body.next_chunk()).await {
            Ok(chunk) => chunk,
            Err(_) => Err(upstream::Failure::timed_out()),
        };
        (body, chunk)
    })
}

impl Stream for Chunks {
    type Item = Result<Bytes, Truncated>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        let Some(next) = &mut self.next else { return Poll::Ready(None) };
        let (body, chunk) = task::ready!(next.as_mut().poll(context));
        self.next = None;
        Poll::Ready(match chunk {
            Ok(Some(bytes)) => {
                self.next = Some(next_chunk(body, self.deadline));
                Some(Ok(bytes))
            }
            Ok(None) => None,
            Err(_) => Some(Err(Truncated)),
        })
    }
}

/// Forwards a request of another node and returns the response of the upstream, or why there is none.
/// The headers of the response may include some that concern only the connection to the upstream.
pub async fn handle(context: &Arc<Context>, request: Request<Bytes>) -> Response<Chunks> {
    let outcome = match forward(context, request).await {
        Ok(response) => {
            context.count_forwarded("taken", "answered");
            return response;
        }
        Err(outcome) => outcome,
    };
    context.count_forwarded("taken", &outcome.to_string());
    let mut response = Response::new(Chunks::empty());
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    let sent = match outcome {
        Outcome::Leaving => {
            message::insert(response.headers_mut(), LEAVING, "true");
            Outcome::Refused
        }
        outcome => outcome,
    };
    message::insert(response.headers_mut(), OUTCOME, &sent.to_string());
    response
}

async fn forward(
    context: &Arc<Context>,
    request: Request<Bytes>,
) -> Result<Response<Chunks>, Outcome> {
    let (mut parts, body) = request.into_parts();
    if !context.access.accepts(&parts.headers) {
        return Err(Outcome::Refused);
    }
    let text = |name: HeaderName| parts.headers.get(name).and_then(|value| value.to_str().ok());
    let upstream = Upstream::from(text(UPSTREAM).ok_or(Outcome::Refused)?);
    let id = text(REQUEST).unwrap_or_default().to_string();
    let is_retryable = text(RETRYABLE) == Some("true");
    let timeout = text(TIMEOUT).and_then(|timeout| timeout.parse().ok());
    let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let is_probe = text(PROBE).is_some();
    // The sender has other forwarders.
    if !is_probe && !context.shutdown.leaves_time_for(Millis::from(timeout)) {
        log::info!(request = id.as_str(), timeout_ms = timeout.as_millis() as u64; "refused to forward a request that this node may not live to answer");
        return Err(Outcome::Refused);
    }
    let tenure = match text(CLAIM).map(str::parse::<Claim>) {
        Some(Ok(claim)) => Some(receive_claim(context, claim)?),
        Some(Err(error)) => {
            log::warn!(error:% = error; "refused to forward a request whose claim is invalid");
            return Err(Outcome::Refused);
        }
        None => None,
    };
    let host = text(HOST).unwrap_or_default().to_string();
    let pick = find(context, &upstream).ok_or(Outcome::Refused)?;
    if is_probe {
        return Err(probe(context, &pick).await);
    }
    if context.balance().is_leaving(&upstream) {
        log::info!(request = id.as_str(), upstream = upstream.0.as_str(); "refused to forward a request to an upstream that is leaving");
        return Err(Outcome::Leaving);
    }
    if !context.uplink().can_forward(context.clock.now()) {
        return Err(Outcome::Refused);
    }
    let capacity = Arc::clone(&context.forwarders.capacity);
    let permit = capacity.try_acquire_owned().map_err(|_| Outcome::Refused)?;
    message::strip(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let request = upstream::Request {
        id,
        method: parts.method,
        target: parts.uri,
        host,
        headers: parts.headers,
        body,
        // The sender has already encoded the workspace in the headers.
        workspace: None,
    };
    let deadline = Instant::now() + timeout;
    let options = Options {
        upstream: &upstream,
        deadline: Some(timeout),
        resume_after: None,
        tenure: tenure.as_ref(),
    };
    let codec = Verbatim(context.codec.as_ref());
    let on_head = |head: &Head| {
        if head.is_leaving {
            context.record_leaving(&pick);
        }
    };
    let sending =
        context.pool.send(&codec, &request, options, pick.address, is_retryable, &on_head);
    let answer = match timeout_at(deadline, sending).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) if failure.kind == FailureKind::Lapsed => return Err(Outcome::Refused),
        Ok(Err(failure)) if failure.delivery == Delivery::NotSent => {
            if failure.kind == FailureKind::Connect {
                uplink::check_path(context, &pick, Sign::ConnectFailed);
            }
            return Err(Outcome::Unreachable);
        }
        Ok(Err(failure)) => {
            log::info!(request = request.id.as_str(), upstream = upstream.0.as_str(), error:% = failure; "forwarded request failed");
            return Err(Outcome::Broken);
        }
        Err(_) => return Err(Outcome::Broken),
    };
    let is_unframed = answer.body.is_unframed;
    let mut parts = answer.parts;
    message::strip(&mut parts.headers);
    if is_unframed {
        message::insert(&mut parts.headers, UNFRAMED, "true");
    }
    Ok(Response::from_parts(parts, Chunks::new(answer.body, deadline, permit)))
}

/// The tenure of a request's sender, as far as this node knows.
fn receive_claim(context: &Context, claim: Claim) -> Result<Tenure, Outcome> {
    let Claim { ownership, remaining } = claim;
    if context.epochs.is_replaced(ownership) {
        log::warn!(partition = ownership.partition, epoch = ownership.epoch, remaining_ms = remaining.0; "refused to forward a request of an owner that has been replaced");
        return Err(Outcome::Replaced);
    }
    Ok(Tenure::new(context.clock.clone(), ownership, remaining, context.clock.boot_time()))
}

/// Whether this node reaches an upstream. It refuses to say so if its own path is down.
async fn probe(context: &Arc<Context>, pick: &Pick) -> Outcome {
    if context.pool.is_reachable(pick.address).await {
        return Outcome::Reachable;
    }
    uplink::check_path(context, pick, Sign::ConnectFailed);
    match uplink::settled_health(context).await {
        Health::Up => Outcome::Unreachable,
        Health::Suspect | Health::Down => Outcome::Refused,
    }
}

/// The registered upstream with this id.
fn find(context: &Context, upstream: &Upstream) -> Option<Pick> {
    let fleet = context.fleet();
    let entry = fleet.entries().get(upstream)?;
    Some(Pick {
        upstream: upstream.clone(),
        address: entry.address,
        service: entry.service.clone(),
        version: Version::default(),
        started: entry.started,
        class: Class::Online,
        load: 0,
        chosen_at: Millis(0),
        departure: None,
    })
}
