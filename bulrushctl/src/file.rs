//! Uploads files in pieces, with a progress bar.

use std::path::Path;

use bulrushspread::batch::view::FileView;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::io::AsyncReadExt;

use crate::{
    Failure, Result,
    arguments::File,
    client::{Body, Client},
    output::Output,
};

/// Bytes of one piece of an upload.
const PIECE_BYTES: usize = 64 << 10;
/// Separates the parts of the body.
const BOUNDARY: &str = "bulrushctl-0f6c1d9e5a7b4c32";

pub(crate) async fn run(client: &Client, output: Output, command: File) -> Result<()> {
    let File::Upload { file } = command;
    let view = upload(client, &file).await?;
    output.print(&view, |view| view.id.clone())
}

/// Uploads the file at `path`.
pub(crate) async fn upload(client: &Client, path: &Path) -> Result<FileView> {
    let name = path.display();
    let unreadable = |error| Failure::Usage(format!("{name} can't be read: {error}"));
    let file = tokio::fs::File::open(path).await.map_err(unreadable)?;
    let length = file.metadata().await.map_err(unreadable)?.len();
    let bar = ProgressBar::new(length);
    if let Ok(style) =
        ProgressStyle::with_template("{bar:30} {bytes}/{total_bytes} {bytes_per_sec}")
    {
        bar.set_style(style);
    }
    let filename = path.file_name().unwrap_or_default().to_string_lossy().replace('"', "_");
    let content_type = format!("multipart/form-data; boundary={BOUNDARY}");
    let body = body(file, &filename, bar.clone());
    let view = client.upload("/v1/files", &content_type, body).await;
    bar.finish_and_clear();
    view
}

fn body(mut file: tokio::fs::File, filename: &str, bar: ProgressBar) -> Body {
    let head = format!(
        "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
         filename=\"{filename}\"\r\nContent-Type: application/jsonl\r\n\r\n"
    );
    let tail = format!("\r\n--{BOUNDARY}--\r\n");
    let (sender, receiver) = tokio::sync::mpsc::channel(4);
    tokio::spawn(async move {
        let _ = sender.send(Ok(Bytes::from(head))).await;
        loop {
            let mut piece = vec![0; PIECE_BYTES];
            match file.read(&mut piece).await {
                Ok(0) => break,
                Ok(length) => {
                    piece.truncate(length);
                    bar.inc(length as u64);
                    if sender.send(Ok(Bytes::from(piece))).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    let _ = sender.send(Err(error)).await;
                    return;
                }
            }
        }
        let _ = sender.send(Ok(Bytes::from(tail))).await;
    });
    let pieces = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let frames = tokio_stream::StreamExt::map(pieces, |piece| piece.map(Frame::data));
    BodyExt::boxed(StreamBody::new(frames))
}
