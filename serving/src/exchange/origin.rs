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
    let services: Vec<&Service> = routed.route.services().collect();
    let only_service = match services[..] {
        [service] => Some(service),
        _ => None,
    };
    let software = context.origins.find(request, only_service).await;
    let software = software.ok_or(Error::Unknown)?;
    if !services.contains(&&software.service) {
        return Err(Error::RouteMoved);
    }
    routed.service = software.service;
    Ok(Some(software.version))
}

/// What other nodes may have learned about the origin of a stream from this request.
#[derive(Debug, Default)]
pub(super) enum Record {
    /// Nothing: the request wasn't sent, or its origin isn't recorded.
    #[default]
    None,
    /// The software that the request is sent to before its first event. Another one may bring the
    /// first event only after a withdrawal.
    Proposed(Digest, Software),
    /// The origin can't change any more.
    Final,
}

impl Record {
    /// Records the software that the request is sent to before its first event. A stream that is
    /// resumed keeps its origin, under the request that began it.
    pub(super) fn propose(
        &mut self,
        context: &Context,
        routed: &RoutedRequest,
        software: Software,
        deadline: Millis,
    ) {
        let (Record::None, Some(request)) = (&*self, recorded_request(routed)) else { return };
        let now = context.clock.now();
        let mut origins = context.origins.state();
        if is_resume(routed) {
            let revision = origins.find(now, request).map_or(0, |known| known.revision);
            origins.record(now, request, Origin { software, revision }, deadline);
            *self = Record::Final;
        } else {
            origins.propose(now, request, software.clone(), deadline);
            *self = Record::Proposed(request, software);
        }
    }

    /// Records that `software` has brought the first event.
    pub(super) fn settle(&mut self, context: &Context, software: Software, deadline: Millis) {
        let Record::Proposed(request, _) = std::mem::replace(self, Record::Final) else { return };
        let now = context.clock.now();
        context.origins.state().settle(now, request, software, deadline);
    }

    /// The only software that may bring the first event. `None` stands for any.
    pub(super) fn bound_software(&self, context: &Context) -> Option<&Software> {
        let Record::Proposed(request, software) = self else { return None };
        (!context.origins.state().is_withdrawn(*request)).then_some(software)
    }

    /// The request whose origin must be withdrawn before it is sent to `software`.
    pub(super) fn to_withdraw(&self, context: &Context, software: &Software) -> Option<Digest> {
        let Record::Proposed(request, _) = self else { return None };
        self.bound_software(context).filter(|bound| *bound != software).map(|_| *request)
    }
}

/// The request under whose id the origin is recorded, if it is.
fn recorded_request(routed: &RoutedRequest) -> Option<Digest> {
    if routed.route.kind != (Kind::Stream { resumable: true }) {
        return None;
    }
    let id = match is_resume(routed) {
        true => routed.resumes.as_ref()?,
        false => &routed.request.id,
    };
    // Resumes that don't name their first request are looked up under the empty id.
    (!id.is_empty()).then(|| Digest::of(id))
}

fn is_resume(routed: &RoutedRequest) -> bool {
    let is_resumable = routed.route.kind == Kind::Stream { resumable: true };
    is_resumable && routed.last_event.is_some_and(|event| event > 0)
}
