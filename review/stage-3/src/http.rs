//! A small HTTP/1.1 implementation: bodies with a length only.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
};

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads until `buffer` holds the end of a head. `None` at the end of the connection.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 16 << 10];
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Option<Vec<u8>> {
    let mut chunk = vec![0; 64 << 10];
    while buffer.len() < length {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
    Some(buffer.drain(..length).collect())
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_string(), value.trim().to_string())).collect()
}

fn content_length(headers: &[(String, String)]) -> usize {
    let mut lengths =
        headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths.next().and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let mut first = head.lines().next()?.split(' ');
    let target = first.nth(1)?.to_string();
    let headers = parse_headers(&head);
    let body = read_body(stream, buffer, content_length(&headers))?;
    Some(Request { target, headers, body })
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").into_bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Calls `serve` in a thread of its own for each connection.
pub fn listen(
    address: SocketAddr,
    serve: impl Fn(TcpStream) + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// A connection of a client that is kept for several requests.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }

    /// Sends a request and reads the answer. `None` if there is no complete answer within `timeout`; the
    /// connection is then closed.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: std::time::Duration,
    ) -> Option<(u16, Vec<(String, String)>, Vec<u8>)> {
        let result = self.exchange(method, target, headers, body, timeout);
        let closes = result.as_ref().is_none_or(|(_, headers, _)| {
            headers.iter().any(|(name, value)| {
                name.eq_ignore_ascii_case("connection") && value.eq_ignore_ascii_case("close")
            })
        });
        if closes {
            self.stream = None;
        }
        result
    }

    fn exchange(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        timeout: std::time::Duration,
    ) -> Option<(u16, Vec<(String, String)>, Vec<u8>)> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, timeout).ok()?;
            stream.set_nodelay(true).ok()?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut()?;
        stream.set_read_timeout(Some(timeout)).ok()?;
        stream.set_write_timeout(Some(timeout)).ok()?;
        let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").into_bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
        bytes.extend_from_slice(body);
        stream.write_all(&bytes).ok()?;
        let mut buffer = Vec::new();
        let head = read_head(stream, &mut buffer)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let headers = parse_headers(&head);
        let is_chunked =
            headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"));
        if !is_chunked {
            let body = read_body(stream, &mut buffer, content_length(&headers))?;
            return Some((status, headers, body));
        }
        let mut whole = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                    let line = String::from_utf8_lossy(&buffer[..end]).into_owned();
                    buffer.drain(..end + 2);
                    break line;
                }
                let mut chunk = [0; 4096];
                match stream.read(&mut chunk) {
                    Ok(0) | Err(_) => return None,
                    Ok(length) => buffer.extend_from_slice(&chunk[..length]),
                }
            };
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let chunk = read_body(stream, &mut buffer, size + 2)?;
            if size == 0 {
                return Some((status, headers, whole));
            }
            whole.extend_from_slice(&chunk[..size]);
        }
    }
}
