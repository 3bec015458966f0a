//! Bodies of requests, read within bounds of size and time.

use bytes::{Bytes, BytesMut};
use dropshot::StreamingBody;
use futures_util::{StreamExt, pin_mut};

use crate::{
    error::{Error, Kind, Result},
    time::Millis,
};

use super::{Settings, answer::library_error};

/// Bytes of a too large body that are read and dropped. A caller that is still sending when its
/// connection closes never sees the refusal.
const DISCARDED_BYTES: usize = 8 << 20;

/// Reads the whole body. Refuses one that is too large or that arrives too slowly.
pub(crate) async fn read(body: StreamingBody, settings: &Settings) -> Result<Bytes> {
    let timeout = Millis(settings.body_timeout_ms);
    match tokio::time::timeout(timeout.duration(), collect(body, settings.body_bytes)).await {
        Ok(body) => body,
        Err(_) => {
            Err(Error::new(Kind::BadRequest, format!("the body did not arrive within {timeout}")))
        }
    }
}

async fn collect(body: StreamingBody, limit: usize) -> Result<Bytes> {
    let pieces = body.into_stream();
    pin_mut!(pieces);
    let (mut whole, mut arrived) = (BytesMut::new(), 0);
    while let Some(piece) = pieces.next().await {
        let piece = piece.map_err(|error| library_error(&error))?;
        arrived += piece.len();
        if arrived <= limit {
            whole.extend_from_slice(&piece);
        }
        if arrived > limit + DISCARDED_BYTES {
            break;
        }
    }
    if arrived > limit {
        let message = format!("the body has more than {limit} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(whole.freeze())
}
