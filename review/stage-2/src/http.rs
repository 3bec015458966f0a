//! HTTP/1.1 for the stand-ins: one thread a connection, bodies with a length or in chunks.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the stated length or ends with its last chunk.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, place: usize) -> &str {
        self.start.split(' ').nth(place).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// The path of a request without its query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(decode_percent(found))
    }
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut decoded) = (text.bytes(), Vec::new());
    while let Some(byte) = bytes.next() {
        let digits: Vec<u8> =
            if byte == b'%' { bytes.by_ref().take(2).collect() } else { Vec::new() };
        let digits = std::str::from_utf8(&digits).unwrap_or_default();
        decoded.push(u8::from_str_radix(digits, 16).unwrap_or(byte));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads a message. `None` if the connection ends before its head.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut line = Vec::new();
    let mut lines = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line).ok()? == 0 || !line.ends_with(b"\n") {
            return None;
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_string();
        if text.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(text);
    }
    let mut message = Message { start: lines.remove(0), ..Message::default() };
    let pair = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_string(), value.trim().to_string()))
    };
    message.headers = lines.iter().filter_map(pair).collect();
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> =
        message.header("content-length").and_then(|value| value.parse().ok());
    match (is_chunked, length) {
        (true, _) => message.is_complete = read_chunks(reader, &mut message.body).is_some(),
        (false, Some(length)) => {
            let read = reader.take(length as u64).read_to_end(&mut message.body);
            message.is_complete = read.is_ok() && message.body.len() == length;
        }
        (false, None) if is_response => {
            message.is_complete = reader.read_to_end(&mut message.body).is_ok();
        }
        (false, None) => message.is_complete = true,
    }
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let before = body.len();
        reader.take(size as u64).read_to_end(body).ok()?;
        if body.len() - before < size {
            return None;
        }
        let mut end = String::new();
        reader.read_line(&mut end).ok()?;
        if end != "\r\n" {
            return None;
        }
        if size == 0 {
            return Some(());
        }
    }
}

pub fn write(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves connections, each in a thread, until the process ends. `handle` returns false to close the
/// connection.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    serve_until(listener, Arc::default(), handle);
}

/// Serves connections until `has_crashed`: then nothing listens, and open connections end.
pub fn serve_until(
    listener: TcpListener,
    has_crashed: Arc<AtomicBool>,
    handle: impl Fn(&Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if has_crashed.load(Ordering::Relaxed) {
                return;
            }
            let has_crashed = Arc::clone(&has_crashed);
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader, false) {
                    if has_crashed.load(Ordering::Relaxed)
                        || !request.is_complete
                        || !matches!(handle(&request, &mut writer), Ok(true))
                    {
                        break;
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Sends one request on a new connection. `None` if there is no response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout.saturating_sub(started.elapsed()))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat()).ok()?;
    read(&mut BufReader::new(stream), true)
}
