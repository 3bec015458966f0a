//! Keeps a stream at the software that began it when its caller resumes it.

use std::sync::Arc;

use crate::{
    catalog::Kind,
    fleet::Software,
    id::{Service, Version},
    origins::{Digest, Origin},
    time::Millis,
};

use super::{Context, RoutedRequest};

/// Why a request can't go on with the stream that it resumes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Error {
    #[error("no node knows which software began the stream")]
    Unknown,
    #[error("the route no longer has the service that began the stream")]
    RouteMoved,
}

type Result<T> = std::result::Result<T, Error>;

/// Selects the service and the version that may run the request. `None` stands for any version.
pub(super) async fn select_software(
    context: &Arc<Context>,
    routed: &mut RoutedRequest,
) -> Result<Option<Version>> {
    if !is_resume(routed) {
        return Ok(None);
    }
    // A resume that doesn't name its first request may still go on if there is only one version.
    let request = Digest::of(routed.resumes.as_deref().unwrap_or_default());
    let services: Vec<&Service> = routed
        .route
        .split
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| &share.service)
        .collect();
    let only_service = match services[..] {
        [service] => Some(service),
        _ => None,
    };
    let software = context.origins.find(request, only_service, routed.route.timeout).await;
    let software = software.ok_or(Error::Unknown)?;
    if !services.contains(&&software.service) {
        return Err(Error::RouteMoved);
    }
    routed.service = software.service;
    Ok(Some(software.version))
}

/// The origin of a stream as this node has recorded it.
#[derive(Debug, Default)]
pub(super) struct Record(Option<Origin>);

impl Record {
    /// Records the software that the request is sent to, or that brought the first event of its
    /// stream. A stream that is resumed keeps its origin, under the request that began it.
    pub(super) fn update(
        &mut self,
        context: &Context,
        routed: &RoutedRequest,
        version: &Version,
        deadline: Millis,
    ) {
        if routed.route.kind != (Kind::Stream { resumable: true }) {
            return;
        }
        let software = Software { service: routed.service.clone(), version: version.clone() };
        if self.0.as_ref().is_some_and(|origin| origin.software == software) {
            return;
        }
        let now = context.clock.now();
        let is_resume = is_resume(routed);
        let id = match &routed.resumes {
            Some(first) if is_resume => first,
            _ if is_resume => return,
            _ => &routed.request.id,
        };
        // Resumes that don't name their first request are looked up under the empty id.
        if id.is_empty() {
            return;
        }
        let request = Digest::of(id);
        let mut origins = context.origins.state();
        let revision = match (origins.find(now, request), is_resume) {
            (Some(known), true) => known.revision,
            (Some(known), false) => known.revision + 1,
            (None, _) => 0,
        };
        let origin = Origin { software, revision };
        origins.record(now, request, origin.clone(), deadline);
        self.0 = Some(origin);
    }
}

fn is_resume(routed: &RoutedRequest) -> bool {
    let is_resumable = routed.route.kind == Kind::Stream { resumable: true };
    is_resumable && routed.last_event.is_some_and(|event| event > 0)
}
