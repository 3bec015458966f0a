//! Who calls: bearer keys, looked up by digest in the document in force.

use http::{HeaderMap, header::AUTHORIZATION};
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, Kind, Result},
    id::Offset,
    node::{Context, Phase},
};

pub(crate) use super::directory::Caller;

/// The caller that the bearer key names. Refuses everybody once the node drains.
pub(crate) fn authenticate(context: &Context, headers: &HeaderMap) -> Result<Caller> {
    if *context.phase.borrow() == Phase::Draining {
        return Err(Error::new(Kind::Draining, "this node is stopping; call again"));
    }
    check_configured(context)?;
    let key = bearer(headers)
        .ok_or_else(|| Error::new(Kind::Unauthorized, "the request carries no bearer key"))?;
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    let directory = context.directory.get(&context.config);
    let caller = directory.caller(&digest).cloned();
    caller.ok_or_else(|| Error::new(Kind::Unauthorized, "the bearer key is not known"))
}

/// Refuses while this node has read no configuration, neither from the log nor from a peer.
pub(super) fn check_configured(context: &Context) -> Result<()> {
    if context.config.head().next == Offset(0) && !context.config.reader().is_caught_up() {
        return Err(Error::new(Kind::LogUnavailable, "this node has no configuration yet"));
    }
    Ok(())
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
