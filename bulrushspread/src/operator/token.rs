//! Tells operators from others by their bearer tokens.

use http::{HeaderMap, header::AUTHORIZATION};

use crate::{
    config::state::digest,
    error::{Error, Kind, Result},
};

use super::Settings;

/// Refuses requests without the token of an operator.
pub(crate) fn check(settings: &Settings, headers: &HeaderMap) -> Result<()> {
    let Some(token) = bearer(headers) else {
        let message = "send the operators' token as `Authorization: Bearer TOKEN`";
        return Err(Error::new(Kind::Unauthorized, message));
    };
    // Digests are compared, so the time of the comparison tells nothing of the token.
    let digest = digest(token);
    match settings.token_digests.iter().any(|known| known.eq_ignore_ascii_case(&digest)) {
        true => Ok(()),
        false => Err(Error::new(Kind::Forbidden, "the token is not an operator's")),
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers.get(AUTHORIZATION)?.to_str().ok()?.strip_prefix("Bearer ")
}
