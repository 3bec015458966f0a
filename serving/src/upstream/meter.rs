//! Limits the bytes that a connection receives without any result: the parser skips informational
//! responses and parts of the chunked encoding, however many an upstream sends.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum number of bytes received since the last head of a response or part of a body. Must be
/// more than the read buffer of a connection holds.
const MAX_UNPARSED_BYTES: usize = 128 << 10;

/// Counts the bytes received since the last head of a response or part of a body.
#[derive(Debug, Default)]
pub(super) struct Meter {
    unparsed_bytes: AtomicUsize,
}

impl Meter {
    /// Records that the bytes received so far contained a head or a part of a body.
    pub(super) fn reset(&self) {
        self.unparsed_bytes.store(0, Ordering::Relaxed);
    }
}

/// A connection that fails once its meter exceeds `MAX_UNPARSED_BYTES`.
pub(super) struct MeteredStream {
    pub(super) stream: TcpStream,
    pub(super) meter: Arc<Meter>,
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.unparsed_bytes.load(Ordering::Relaxed) > MAX_UNPARSED_BYTES {
            let message = format!("no response within {MAX_UNPARSED_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(ctx, buf))?;
        let received = buf.filled().len() - filled_before;
        self.meter.unparsed_bytes.fetch_add(received, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(ctx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        ctx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(ctx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(ctx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, ctx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(ctx)
    }
}
