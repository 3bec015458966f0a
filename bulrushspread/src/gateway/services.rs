//! `/services/{service}/{path}`: calls to plain services, passed through.

use std::str::FromStr;

use bytes::Bytes;
use dropshot::{Body, Path, RequestContext, StreamingBody, endpoint};
use http::{
    HeaderMap, Method, Response,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};
use opentelemetry::trace::SpanKind;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::{
    attempt::{Fingerprint, ServiceCall},
    error::{self, Error, Kind},
    id::Service,
    node::Shared,
    telemetry::trace,
    upstream::Answer,
};

use super::{
    answer::{self, Outcome},
    auth, body,
    completions::deadline,
};

/// The header with which a caller makes a call repeatable.
const KEY_HEADER: &str = "idempotency-key";
/// Bytes that an idempotency key may have.
const KEY_BYTES: usize = 255;
/// Headers that belong to one connection, and the caller's key, are not passed on.
const NOT_PASSED: [HeaderName; 9] = [
    AUTHORIZATION,
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

#[derive(Deserialize, JsonSchema)]
pub(super) struct Target {
    service: String,
    path: Vec<String>,
}

macro_rules! methods {
    ($($name:ident = $method:ident;)*) => {$(
        #[endpoint {
            method = $method,
            path = "/services/{service}/{path:.*}",
            unpublished = true,
        }]
        pub(super) async fn $name(
            request: RequestContext<Shared>,
            target: Path<Target>,
            body: StreamingBody,
        ) -> Outcome {
            answer::of(call(&request, target.into_inner(), body).await)
        }
    )*};
}

methods! {
    service_delete = DELETE;
    service_get = GET;
    service_head = HEAD;
    service_options = OPTIONS;
    service_patch = PATCH;
    service_post = POST;
    service_put = PUT;
}

async fn call(
    request: &RequestContext<Shared>,
    target: Target,
    body: StreamingBody,
) -> error::Result<Response<Body>> {
    let context = request.context();
    let headers = request.request.headers();
    let trace = trace::hop("gateway.service", SpanKind::Server, &trace::extract(headers));
    let caller = auth::authenticate(context, headers)?;
    let deadline = deadline(context, headers)?;
    let key = key(headers)?;
    let body = body::read(body, &context.settings.gateway).await?;
    let method = Method::from_str(request.request.method().as_str())
        .map_err(|error| Error::new(Kind::BadRequest, error.to_string()))?;
    let path = path(&target, request.request.uri().query());
    let identity = identity(&method, &target.service, &path, &body);
    let call = ServiceCall {
        fingerprint: Fingerprint::of(&caller.workspace, &identity),
        service: Service(target.service),
        method,
        path,
        headers: passed(headers),
        body,
        key,
        deadline,
        trace,
    };
    let answer = context.attempt.call(context, caller, call).await?;
    Ok(pass_back(answer))
}

/// The idempotency key of the request.
pub(super) fn key(headers: &HeaderMap) -> error::Result<Option<String>> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let key = value.to_str().ok().filter(|key| (1..=KEY_BYTES).contains(&key.len()));
    let key = key.ok_or_else(|| {
        Error::new(Kind::BadRequest, format!("{KEY_HEADER} is not 1 to {KEY_BYTES} characters"))
    })?;
    Ok(Some(key.to_string()))
}

fn path(target: &Target, query: Option<&str>) -> String {
    let path = target.path.join("/");
    match query {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

/// The bytes that tell one call from another.
fn identity(method: &Method, service: &str, path: &str, body: &Bytes) -> Vec<u8> {
    let mut identity = format!("{method} {service} {path}\n").into_bytes();
    identity.extend_from_slice(body);
    identity
}

fn passed(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in &NOT_PASSED {
        headers.remove(name);
    }
    headers
}

fn pass_back(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = passed(&answer.headers);
    response
}
