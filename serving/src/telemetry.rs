//! Structured logs on standard output: one JSON object a line.
//!
//! Lines go into a bounded buffer that a thread of its own writes. While the buffer is full,
//! lines are dropped and counted, so that an output that nobody reads stops nothing.

use std::{
    collections::BTreeMap,
    io::Write,
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use log::kv::{Key, Value, VisitSource};

/// Bytes that wait for the output at most; some seconds of lines under full load.
const BUFFER_BYTES: usize = 256 << 10;

/// Starts the log. Fails if a log has been started already.
pub fn start(
    level: log::LevelFilter,
    output: impl Write + Send + 'static,
) -> Result<(), log::SetLoggerError> {
    let buffer = Arc::new(Buffer::default());
    let reader = Arc::clone(&buffer);
    std::thread::spawn(move || drain(&reader, output));
    log::set_boxed_logger(Box::new(Logger { buffer }))?;
    log::set_max_level(level);
    Ok(())
}

#[derive(Default)]
struct Buffer {
    pending: Mutex<Pending>,
    filled: Condvar,
}

#[derive(Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

impl Buffer {
    fn push(&self, line: &[u8]) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > BUFFER_BYTES {
            pending.dropped += 1;
            return;
        }
        let was_empty = pending.bytes.is_empty();
        pending.bytes.extend_from_slice(line);
        drop(pending);
        if was_empty {
            self.filled.notify_one();
        }
    }

    /// Waits for lines. Lines that were dropped are told of in one more line.
    fn take(&self) -> Vec<u8> {
        let pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let mut pending = self
            .filled
            .wait_while(pending, |pending| pending.bytes.is_empty())
            .unwrap_or_else(PoisonError::into_inner);
        let mut bytes = std::mem::take(&mut pending.bytes);
        let dropped = std::mem::take(&mut pending.dropped);
        drop(pending);
        if dropped > 0 {
            let line = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }
}

fn drain(buffer: &Buffer, mut output: impl Write) {
    loop {
        let bytes = buffer.take();
        // There is nowhere to tell of an output that can't be written.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

struct Logger {
    buffer: Arc<Buffer>,
}

impl log::Log for Logger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            self.buffer.push(&line(record));
        }
    }

    fn flush(&self) {}
}

/// One record as a line of JSON: time, level, message, then its own fields.
fn line(record: &log::Record<'_>) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields::default();
    // A field that can't be serialized is left out by `visit_pair`, which never fails.
    let _ = record.key_values().visit(&mut fields);
    let mut object = serde_json::Map::new();
    object.insert("time_ms".to_string(), (now.as_millis() as u64).into());
    object.insert("level".to_string(), record.level().as_str().to_lowercase().into());
    object.insert("message".to_string(), record.args().to_string().into());
    object.extend(fields.0);
    let mut bytes = serde_json::Value::Object(object).to_string().into_bytes();
    bytes.push(b'\n');
    bytes
}

#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = match (value.to_i64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (None, _, Some(flag)) => flag.into(),
            (None, Some(number), _) => number.into(),
            (None, None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
