//! `/v1/batches`: batch jobs.

use dropshot::{Body, Path, Query, RequestContext, StreamingBody, endpoint};
use http::{Response, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    batch::{
        api,
        view::{Create, JobView},
    },
    error::{self, Error, Kind},
    id::{Job, Workspace},
    node::Shared,
};

use super::{
    answer::{self, Outcome},
    auth, body,
    services::key,
};

/// Jobs that a list has when the caller names no number.
const DEFAULT_LIMIT: usize = 20;
/// Jobs that a list has at most.
const LIMIT: usize = 100;

#[derive(Deserialize, JsonSchema)]
pub(super) struct Target {
    id: String,
}

#[derive(Deserialize, JsonSchema)]
pub(super) struct Range {
    /// The last job of the list before.
    after: Option<String>,
    limit: Option<usize>,
}

/// One part of all jobs, newest first.
#[derive(Serialize)]
struct List {
    object: &'static str,
    first_id: Option<String>,
    last_id: Option<String>,
    has_more: bool,
    data: Vec<JobView>,
}

/// Creates a job from an uploaded file.
#[endpoint { method = POST, path = "/v1/batches", unpublished = true }]
pub(super) async fn create_batch(request: RequestContext<Shared>, body: StreamingBody) -> Outcome {
    answer::of(create(&request, body).await)
}

/// Lists the jobs of the caller's workspace.
#[endpoint { method = GET, path = "/v1/batches", unpublished = true }]
pub(super) async fn list_batches(request: RequestContext<Shared>, range: Query<Range>) -> Outcome {
    answer::of(list(&request, range.into_inner()).await)
}

/// Describes a job.
#[endpoint { method = GET, path = "/v1/batches/{id}", unpublished = true }]
pub(super) async fn get_batch(request: RequestContext<Shared>, target: Path<Target>) -> Outcome {
    answer::of(get(&request, target.into_inner()).await)
}

/// Cancels a job. No item starts after the answer.
#[endpoint { method = POST, path = "/v1/batches/{id}/cancel", unpublished = true }]
pub(super) async fn cancel_batch(request: RequestContext<Shared>, target: Path<Target>) -> Outcome {
    answer::of(cancel(&request, target.into_inner()).await)
}

async fn create(
    request: &RequestContext<Shared>,
    body: StreamingBody,
) -> error::Result<Response<Body>> {
    let context = request.context().clone();
    let headers = request.request.headers();
    let workspace = auth::authenticate(&context, headers)?.workspace;
    let key = key(headers)?;
    let bytes = body::read(body, &context.settings.gateway).await?;
    let asked: Create = serde_json::from_slice(&bytes)
        .map_err(|error| Error::new(Kind::BadRequest, format!("the body is not valid: {error}")))?;
    // A job whose caller goes away is still committed, so that a resend finds it.
    let commit = async move { api::create(&context, &workspace, key.as_deref(), asked).await };
    let view = tokio::spawn(commit).await.map_err(interrupted)??;
    Ok(answer::json(StatusCode::OK, &view))
}

async fn list(request: &RequestContext<Shared>, range: Range) -> error::Result<Response<Body>> {
    let context = request.context();
    let workspace = authenticate(request)?;
    let after = range.after.map(Job);
    let limit = range.limit.unwrap_or(DEFAULT_LIMIT).clamp(1, LIMIT);
    // One more than asked for tells whether there are more.
    let mut data = api::list(context, &workspace, after.as_ref(), limit + 1).await?;
    let has_more = data.len() > limit;
    data.truncate(limit);
    let id = |view: Option<&JobView>| view.map(|view| view.id.clone());
    let list = List {
        object: "list",
        first_id: id(data.first()),
        last_id: id(data.last()),
        has_more,
        data,
    };
    Ok(answer::json(StatusCode::OK, &list))
}

async fn get(request: &RequestContext<Shared>, target: Target) -> error::Result<Response<Body>> {
    let workspace = authenticate(request)?;
    let view = api::get(request.context(), &workspace, &Job(target.id)).await?;
    Ok(answer::json(StatusCode::OK, &view))
}

async fn cancel(request: &RequestContext<Shared>, target: Target) -> error::Result<Response<Body>> {
    let context = request.context().clone();
    let workspace = authenticate(request)?;
    let commit = async move { api::cancel(&context, &workspace, &Job(target.id)).await };
    let view = tokio::spawn(commit).await.map_err(interrupted)??;
    Ok(answer::json(StatusCode::OK, &view))
}

fn authenticate(request: &RequestContext<Shared>) -> error::Result<Workspace> {
    let caller = auth::authenticate(request.context(), request.request.headers())?;
    Ok(caller.workspace)
}

fn interrupted(error: tokio::task::JoinError) -> Error {
    Error::new(Kind::Internal, format!("the request was interrupted: {error}"))
}
