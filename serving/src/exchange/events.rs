//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// The longest event that is waited for. A greater one counts as broken.
const EVENT_BYTES: usize = 1 << 20;

/// One whole event as the upstream sent it, its blank line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's number, if it names one.
    pub id: Option<u64>,
    pub bytes: Bytes,
}

impl Event {
    /// The event's data; several lines are joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::new();
        for (index, line) in fields(&self.bytes, b"data").enumerate() {
            if index > 0 {
                data.push(b'\n');
            }
            data.extend_from_slice(line);
        }
        data
    }

    /// Whether the event has any data.
    pub fn has_data(&self) -> bool {
        fields(&self.bytes, b"data").next().is_some()
    }
}

/// Bytes that don't yet form a whole event.
#[derive(Debug, Default)]
pub struct Splitter {
    pending: BytesMut,
}

impl Splitter {
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the unfinished event is too long to go on.
    pub fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_BYTES
    }
}

/// Whole events, as far as there are any.
impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = end_of_event(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        let id = fields(&bytes, b"id").last();
        let id = id.and_then(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
        Some(Event { id, bytes })
    }
}

/// The position behind the first blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// The values of all lines with the field `name`.
fn fields<'a>(bytes: &'a [u8], name: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    bytes.split(|byte| *byte == b'\n').filter_map(move |line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.strip_prefix(b" ").unwrap_or(value))
    })
}
