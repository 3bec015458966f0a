//! Incremental parser for streams of server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. A stream with a larger one is treated as broken. An event
/// carries a few tokens, and each stream may buffer this much.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// One complete event as the upstream sent it, including the blank line at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if there is one and it is a number.
    pub id: Option<u64>,
    pub bytes: Bytes,
}

impl Event {
    /// Values of all `data` fields, joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::new();
        for (index, line) in field_values(&self.bytes, b"data").enumerate() {
            if index > 0 {
                data.push(b'\n');
            }
            data.extend_from_slice(line);
        }
        data
    }

    /// Whether the event consists of comments only.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }

    /// Whether the event has a `data` field.
    pub fn has_data(&self) -> bool {
        field_values(&self.bytes, b"data").next().is_some()
    }
}

/// Splits a stream of bytes into events. Holds the bytes of events that were not read yet.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
    /// Number of pending bytes in which no event ends.
    scanned: usize,
    /// Start of the line at `scanned`.
    line_start: usize,
}

impl Splitter {
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Whether bytes are buffered. After all events were read, these belong to an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the buffered bytes exceed the maximum size of an event.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Yields the complete events. `None` means that more bytes are needed for the next one.
impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        (self.scanned, self.line_start) = (0, 0);
        let bytes = self.pending.split_to(end).freeze();
        let id = field_values(&bytes, b"id").last();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { id, bytes })
    }
}

impl Splitter {
    /// Position after the blank line that ends the first event, if the event is complete. Each byte
    /// is looked at once, however small the pieces are in which an event arrives.
    fn find_end(&mut self) -> Option<usize> {
        while self.scanned < self.pending.len() {
            let index = self.scanned;
            self.scanned += 1;
            if self.pending[index] != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..index];
            if self.line_start > 0 && (line.is_empty() || line == b"\r") {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        None
    }
}

/// Values of all lines with the field `name`.
fn field_values<'a>(bytes: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    bytes.split(|byte| *byte == b'\n').filter_map(move |line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
