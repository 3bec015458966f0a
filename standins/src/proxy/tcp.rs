//! The TCP side of the proxy.

use std::{io, sync::Arc};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::Instant,
};

use super::faults::{Faults, Mode};

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks under way in one direction.
const CHUNKS: usize = 256;

/// Bytes with the time at which they arrive.
struct Chunk {
    due: Instant,
    data: Bytes,
}

pub(crate) async fn relay(listener: TcpListener, faults: Arc<Faults>) -> anyhow::Result<()> {
    loop {
        let (client, _) = listener.accept().await?;
        let faults = faults.clone();
        tokio::spawn(async move {
            if let Err(error) = connect(client, &faults).await {
                log::debug!("proxy: a connection ended: {error}");
            }
        });
    }
}

async fn connect(client: TcpStream, faults: &Arc<Faults>) -> io::Result<()> {
    if faults.mode() == Mode::Refuse {
        return Ok(());
    }
    faults.wait_for(|mode| mode == Mode::Pass || mode == Mode::Refuse).await;
    let Some(target) = faults.target() else { return Ok(()) };
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let both = async {
        tokio::try_join!(
            pass(client_reader, server_writer, faults),
            pass(server_reader, client_writer, faults),
        )
    };
    tokio::select! {
        ended = both => ended.map(drop),
        () = faults.wait_for(|mode| mode == Mode::Refuse) => Ok(()),
    }
}

async fn pass(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    faults: &Arc<Faults>,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(CHUNKS);
    tokio::try_join!(read(reader, tx, faults), write(writer, rx, faults)).map(drop)
}

async fn read(
    mut reader: OwnedReadHalf,
    tx: mpsc::Sender<Chunk>,
    faults: &Faults,
) -> io::Result<()> {
    let mut last = Instant::now();
    loop {
        let mut data = BytesMut::with_capacity(CHUNK_BYTES);
        if reader.read_buf(&mut data).await? == 0 {
            return Ok(());
        }
        last = last.max(Instant::now() + faults.draw_delay());
        if tx.send(Chunk { due: last, data: data.freeze() }).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut writer: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
    faults: &Faults,
) -> io::Result<()> {
    while let Some(chunk) = rx.recv().await {
        tokio::time::sleep_until(chunk.due).await;
        faults.wait_for(|mode| mode != Mode::Freeze).await;
        if faults.mode() == Mode::Blackhole {
            faults.wait_for(|mode| mode != Mode::Blackhole).await;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        writer.write_all(&chunk.data).await?;
    }
    writer.shutdown().await
}
