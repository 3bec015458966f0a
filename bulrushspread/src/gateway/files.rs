//! `/v1/files`: uploads of batch items and reads of files, streamed in bounded memory.

use std::time::Duration;

use bytes::Bytes;
use dropshot::{Body, Path, RequestContext, StreamingBody, endpoint};
use futures_util::{Stream, StreamExt};
use http::{
    HeaderMap, HeaderValue, Response, StatusCode,
    header::{CONTENT_DISPOSITION, CONTENT_TYPE},
};
use http_body_util::StreamBody;
use hyper::body::Frame;
use multer::{Field, Multipart};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use crate::{
    batch::api::{self, ByteStream},
    error::{self, Error, Kind},
    id::{File, Workspace},
    node::Shared,
};

use super::{
    answer::{self, Outcome},
    auth,
};

/// The name of an uploaded file that carries none.
const DEFAULT_FILENAME: &str = "items.jsonl";
/// The only purpose that an uploaded file may have.
const PURPOSE: &str = "batch";
/// Bytes that the purpose field of a form may have.
const PURPOSE_BYTES: usize = 64;
/// Time within which the next piece of an upload must arrive.
const PIECE_TIMEOUT: Duration = Duration::from_secs(30);
/// Pieces of a file that are read before the caller has taken the earlier ones.
const PIECES_AHEAD: usize = 4;

#[derive(Deserialize, JsonSchema)]
pub(super) struct Target {
    id: String,
}

/// Stores a file: a form with the fields `purpose` and `file`, or the bare lines.
#[endpoint {
    method = POST,
    path = "/v1/files",
    request_body_max_bytes = usize::MAX,
    unpublished = true,
}]
pub(super) async fn create_file(request: RequestContext<Shared>, body: StreamingBody) -> Outcome {
    answer::of(upload(&request, body).await)
}

/// Describes a file.
#[endpoint { method = GET, path = "/v1/files/{id}", unpublished = true }]
pub(super) async fn get_file(request: RequestContext<Shared>, target: Path<Target>) -> Outcome {
    answer::of(describe(&request, target.into_inner()).await)
}

/// Streams the lines of a file.
#[endpoint { method = GET, path = "/v1/files/{id}/content", unpublished = true }]
pub(super) async fn get_file_content(
    request: RequestContext<Shared>,
    target: Path<Target>,
) -> Outcome {
    answer::of(content(&request, target.into_inner()).await)
}

async fn upload(
    request: &RequestContext<Shared>,
    body: StreamingBody,
) -> error::Result<Response<Body>> {
    let context = request.context();
    let headers = request.request.headers();
    let workspace = auth::authenticate(context, headers)?.workspace;
    let pieces = pieces(body);
    let view = match boundary(headers) {
        Some(boundary) => upload_form(context, &workspace, boundary, pieces).await?,
        None => api::upload(context, &workspace, DEFAULT_FILENAME, pieces.boxed()).await?,
    };
    Ok(answer::json(StatusCode::OK, &view))
}

async fn upload_form(
    context: &Shared,
    workspace: &Workspace,
    boundary: String,
    pieces: impl Stream<Item = error::Result<Bytes>> + Send + 'static,
) -> error::Result<crate::batch::view::FileView> {
    let mut form = Multipart::new(pieces, boundary);
    while let Some(mut field) = form.next_field().await.map_err(malformed)? {
        match field.name() {
            Some("purpose") => check_purpose(&mut field).await?,
            Some("file") => {
                let filename = field.file_name().unwrap_or(DEFAULT_FILENAME).to_string();
                let lines = field.map(|piece| piece.map_err(malformed)).boxed();
                return api::upload(context, workspace, &filename, lines).await;
            }
            Some(_) | None => {}
        }
    }
    Err(bad_request("the form has no field `file`"))
}

async fn check_purpose(field: &mut Field<'_>) -> error::Result<()> {
    let mut purpose = Vec::new();
    while let Some(piece) = field.chunk().await.map_err(malformed)? {
        purpose.extend_from_slice(&piece);
        if purpose.len() > PURPOSE_BYTES {
            break;
        }
    }
    match purpose == PURPOSE.as_bytes() {
        true => Ok(()),
        false => Err(bad_request("the purpose of a file must be `batch`")),
    }
}

async fn describe(
    request: &RequestContext<Shared>,
    target: Target,
) -> error::Result<Response<Body>> {
    let context = request.context();
    let workspace = auth::authenticate(context, request.request.headers())?.workspace;
    let view = api::get_file(context, &workspace, &File(target.id)).await?;
    Ok(answer::json(StatusCode::OK, &view))
}

async fn content(
    request: &RequestContext<Shared>,
    target: Target,
) -> error::Result<Response<Body>> {
    let context = request.context();
    let workspace = auth::authenticate(context, request.request.headers())?.workspace;
    let lines = api::read_content(context, &workspace, &File(target.id)).await?;
    Ok(stream(lines))
}

fn stream(lines: ByteStream) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
    tokio::spawn(forward(lines, sender));
    let frames = ReceiverStream::new(receiver).map(|piece| piece.map(Frame::data));
    let mut response = Response::new(Body::wrap(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/jsonl"));
    headers.insert(CONTENT_DISPOSITION, HeaderValue::from_static("attachment"));
    response
}

async fn forward(mut lines: ByteStream, sender: mpsc::Sender<error::Result<Bytes>>) {
    while let Some(piece) = lines.next().await {
        if sender.send(piece).await.is_err() {
            return;
        }
    }
}

/// The pieces of a body. One that comes too late ends the upload.
fn pieces(body: StreamingBody) -> impl Stream<Item = error::Result<Bytes>> + Send + 'static {
    let pieces = body.into_stream().map(|piece| match piece {
        Ok(piece) => Ok(piece),
        Err(error) => Err(answer::library_error(&error)),
    });
    let timed = tokio_stream::StreamExt::timeout(pieces, PIECE_TIMEOUT);
    timed.map(|piece| match piece {
        Ok(piece) => piece,
        Err(_) => Err(bad_request("the body stopped arriving")),
    })
}

/// The boundary of a form, or nothing where the body is the bare file.
fn boundary(headers: &HeaderMap) -> Option<String> {
    multer::parse_boundary(headers.get(CONTENT_TYPE)?.to_str().ok()?).ok()
}

fn malformed(error: multer::Error) -> Error {
    bad_request(&format!("the form can't be read: {error}"))
}

fn bad_request(message: &str) -> Error {
    Error::new(Kind::BadRequest, message)
}
