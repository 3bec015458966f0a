//! `GET /v1/models`: the models that some deployment declares.

use std::collections::BTreeSet;

use dropshot::{RequestContext, endpoint};
use http::StatusCode;
use serde::Serialize;

use crate::node::Shared;

use super::{
    answer::{self, Outcome},
    auth,
};

#[derive(Serialize)]
struct List {
    object: &'static str,
    data: Vec<Entry>,
}

#[derive(Serialize)]
struct Entry {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists the models.
#[endpoint { method = GET, path = "/v1/models", unpublished = true }]
pub(super) async fn list_models(request: RequestContext<Shared>) -> Outcome {
    let context = request.context();
    answer::of(auth::authenticate(context, request.request.headers()).map(|_| {
        let current = context.config.current();
        let deployments =
            current.document.pieces.values().flat_map(|piece| piece.deployments.values());
        let models: BTreeSet<String> =
            deployments.flat_map(|spec| &spec.models).map(ToString::to_string).collect();
        let entry = |id| Entry { id, object: "model", created: 0, owned_by: "bulrushspread" };
        let data = models.into_iter().map(entry).collect();
        answer::json(StatusCode::OK, &List { object: "list", data })
    }))
}
