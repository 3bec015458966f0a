//! Validation of one piece before it is published, and the names that the piece claims.

use std::collections::BTreeSet;

use crate::{
    id::{Deployment, Model, Workspace},
    problem::{DIGEST_DIGITS, Problem, is_digest},
};

use super::document::{DeploymentSpec, Piece, ServiceSpec, WorkspaceSpec};

/// Returns the names and keys of a piece that only one team of an environment may declare.
///
/// Deployments and plain services share one namespace, because upstreams are listed by name.
pub fn claims(piece: &Piece) -> BTreeSet<String> {
    let deployments = piece.deployments.keys().map(|name| format!("deployment or service {name}"));
    let services = piece.services.keys().map(|name| format!("deployment or service {name}"));
    let workspaces = piece.workspaces.keys().map(|name| format!("workspace {name}"));
    let digests = piece.workspaces.values().flat_map(|workspace| &workspace.key_digests);
    let keys = digests.map(|digest| format!("key digest {}", digest.to_lowercase()));
    deployments.chain(services).chain(workspaces).chain(keys).collect()
}

/// Removes everything from `piece` whose name is not among `claims`.
pub fn retain_claimed(piece: &mut Piece, claims: &BTreeSet<String>) {
    piece.deployments.retain(|name, _| claims.contains(&format!("deployment or service {name}")));
    piece.services.retain(|name, _| claims.contains(&format!("deployment or service {name}")));
    piece.workspaces.retain(|name, _| claims.contains(&format!("workspace {name}")));
}

/// Returns all problems that a piece has by itself, independently of other pieces.
pub fn check(piece: &Piece) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, spec) in &piece.deployments {
        check_deployment(name, spec, &mut problems);
    }
    for (name, spec) in &piece.services {
        if piece.deployments.contains_key(&Deployment(name.0.clone())) {
            let message = "a deployment of the same name is declared";
            problems.push(problem(format!("services.{name}"), message));
        }
        check_service(&name.0, spec, &mut problems);
    }
    let mut digests = BTreeSet::new();
    for (name, spec) in &piece.workspaces {
        check_workspace(name, spec, &mut digests, &mut problems);
    }
    problems
}

fn check_deployment(name: &Deployment, spec: &DeploymentSpec, problems: &mut Vec<Problem>) {
    let path = format!("deployments.{name}");
    if spec.models.is_empty() {
        problems.push(problem(format!("{path}.models"), "name at least one model"));
    }
    let served: BTreeSet<&Model> = spec.models.iter().collect();
    if served.len() < spec.models.len() {
        problems.push(problem(format!("{path}.models"), "a model is named twice"));
    }
    for model in &spec.models {
        let Some((base, _)) = model.0.split_once(':') else { continue };
        if !served.contains(&Model(base.to_string())) {
            let message = format!("adapter {model} needs model {base}, which is unknown here");
            problems.push(problem(format!("{path}.models"), message));
        }
    }
    if spec.slots == 0 {
        problems.push(problem(format!("{path}.slots"), "must be at least 1"));
    }
}

fn check_service(name: &str, spec: &ServiceSpec, problems: &mut Vec<Problem>) {
    let path = format!("services.{name}");
    if spec.slots == 0 {
        problems.push(problem(format!("{path}.slots"), "must be at least 1"));
    }
    if spec.timeout_ms == 0 {
        problems.push(problem(format!("{path}.timeout_ms"), "must be at least 1"));
    }
    for method in &spec.idempotent_methods {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            let message = format!("{method:?} is not an HTTP method in capital letters");
            problems.push(problem(format!("{path}.idempotent_methods"), message));
        }
    }
}

fn check_workspace(
    name: &Workspace,
    spec: &WorkspaceSpec,
    digests: &mut BTreeSet<String>,
    problems: &mut Vec<Problem>,
) {
    let path = format!("workspaces.{name}");
    for digest in &spec.key_digests {
        if !is_digest(digest) {
            let message =
                format!("{digest:?} is not a SHA-256 digest of {DIGEST_DIGITS} hex digits");
            problems.push(problem(format!("{path}.key_digests"), message));
        }
        if !digests.insert(digest.to_lowercase()) {
            problems.push(problem(format!("{path}.key_digests"), "a key is declared twice"));
        }
    }
    for (key, rate) in
        [("requests_per_s", spec.requests_per_s), ("tokens_per_s", spec.tokens_per_s)]
    {
        if !rate.is_finite() || rate <= 0.0 {
            problems.push(problem(format!("{path}.{key}"), "must be above 0"));
        }
    }
    for (key, limit) in [("concurrency", spec.concurrency), ("weight", spec.weight)] {
        if limit == 0 {
            problems.push(problem(format!("{path}.{key}"), "must be at least 1"));
        }
    }
}

fn problem(path: String, message: impl Into<String>) -> Problem {
    Problem { path, message: message.into() }
}
