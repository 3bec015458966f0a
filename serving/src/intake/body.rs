//! Reads the bodies of requests into memory that was reserved for them.

use bytes::Bytes;
use http_body_util::BodyExt;

use super::{Connection, Reservation, TooMuch};

pub type Result<T> = std::result::Result<T, Error>;

/// Smallest reservation.
const MIN_RESERVED_BYTES: usize = 1 << 10;

/// Why a body can't be read. Nothing of its request has run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    #[error(transparent)]
    TooMuch(#[from] TooMuch),
    /// The connection is to be closed to make room for others.
    #[error("the body made no progress while others waited for its room")]
    Closed,
    #[error("the body broke off: {0}")]
    Broken(hyper::Error),
}

/// A body and the memory that is reserved for it.
struct Held {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

/// An answer and the memory that is reserved for it.
struct HeldAnswer {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reserves memory for an answer until its last clone is gone. An answer that is ready is delivered in any
/// case, so this never fails.
pub fn hold(bytes: Bytes, connection: &Connection) -> Bytes {
    let mut reservation = connection.reservation();
    reservation.force(bytes.len());
    Bytes::from_owner(HeldAnswer { bytes, _reservation: reservation })
}

/// Reads a body to its end. The memory stays reserved for as long as the bytes or clones of them exist.
///
/// Chunks are copied, because each one keeps the read buffer of its connection alive.
///
/// # Errors
///
/// Fails if the body is longer than `max_bytes` or breaks off, if there is no memory for it, or if the
/// connection is closed to make room.
pub async fn read<B>(body: B, max_bytes: usize, connection: &Connection) -> Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let mut body = body;
    let declared = body.size_hint().exact().map(|length| length as usize);
    if declared.is_some_and(|length| length > max_bytes) {
        return Err(Error::TooLong(max_bytes));
    }
    let mut bytes = Vec::new();
    let mut reservation = connection.reservation();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = connection.closed() => return Err(Error::Closed),
        };
        let Some(frame) = frame else { break };
        // Trailers are not passed on.
        let Ok(data) = frame.map_err(Error::Broken)?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLong(max_bytes));
        }
        if length > reservation.bytes() {
            let doubled =
                (2 * reservation.bytes()).clamp(MIN_RESERVED_BYTES, max_bytes.max(length));
            let total = doubled.min(declared.unwrap_or(doubled)).max(length);
            reservation.grow(total - reservation.bytes()).await?;
            bytes.reserve_exact(total - bytes.len());
        }
        bytes.extend_from_slice(&data);
        connection.record_body(data.len());
    }
    // A request that has just arrived must not be passed on from a connection that is about to close.
    if connection.is_closing() {
        return Err(Error::Closed);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    Ok(Bytes::from_owner(Held { bytes, _reservation: reservation }))
}
