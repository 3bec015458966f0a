//! A server of a service: a model replica that streams events, or an application that answers with a
//! page. It registers itself in the store, as PROTOCOL.md describes.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        Arc, Mutex,
    },
    thread::sleep,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};

pub const SLOTS: usize = 8;
const QUEUE: usize = 24;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a model replica streams for a request: the data of each event.
pub type Script = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

#[derive(Clone, Debug)]
pub enum Reply {
    /// Events with these data, each after `pause`.
    Events { data: Vec<Vec<u8>>, pause: Duration },
    /// A complete answer.
    Page { status: u16, body: Vec<u8> },
}

pub struct Server {
    id: String,
    address: SocketAddr,
    store: Store,
    has_crashed: Arc<AtomicBool>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// One request that the server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it began, in milliseconds of the record.
    pub began: u64,
    /// When it ended, and whether it ran to its end.
    pub ended: Option<(u64, bool)>,
    /// Attempt id; of an item, the item's id.
    pub id: String,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        store: &Store,
        record: &Record,
        script: Script,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis();
        let (running, own_runs, own_id, own_record) =
            (Arc::new(AtomicUsize::new(0)), Arc::clone(&runs), id.to_string(), record.clone());
        let has_crashed: Arc<AtomicBool> = Arc::default();
        let is_gone = Arc::clone(&has_crashed);
        http::serve_until(listener, Arc::clone(&has_crashed), move |request, stream| {
            match request.path() {
                "/api/report" => {
                    let busy = running.load(Ordering::Relaxed);
                    let body = format!("{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{busy},\"kv_used\":0,\"kv_total\":147261,\"handles\":0,\"born\":{born}}}");
                    http::write(
                        stream,
                        200,
                        &[("Content-Type", "application/json".into())],
                        body.as_bytes(),
                    )?;
                    return Ok(true);
                }
                "/health" => {
                    http::write(
                        stream,
                        200,
                        &[("X-Bulrushspread-Instance-Id", own_id.clone())],
                        b"",
                    )?;
                    return Ok(true);
                }
                _ => {}
            }
            let attempt =
                request.header("X-Bulrushspread-Attempt-Id").unwrap_or_default().to_string();
            let expected = request.header("X-Bulrushspread-Expect-Instance");
            if expected.is_some_and(|expected| expected != own_id) {
                let headers = [("X-Bulrushspread-Instance-Id", own_id.clone())];
                http::write(stream, 421, &headers, b"")?;
                return Ok(true);
            }
            if attempt.is_empty() {
                http::write(stream, 400, &[("X-Bulrushspread-Not-Executed", "1".into())], b"")?;
                return Ok(true);
            }
            if running.load(Ordering::Relaxed) >= SLOTS + QUEUE {
                let headers = [
                    ("X-Bulrushspread-Not-Executed", "1".into()),
                    ("X-Bulrushspread-Attempt-Id", attempt),
                ];
                http::write(stream, 503, &headers, b"")?;
                return Ok(true);
            }
            let target = format!("{} {}", request.word(0), request.word(1));
            let place = {
                let mut runs = own_runs.lock().unwrap();
                let began = own_record.ms();
                runs.push(Run { began, ended: None, id: attempt.clone() });
                runs.len() - 1
            };
            let from = request.header("Last-Event-Id").unwrap_or("-").to_string();
            own_record.line(&format!("{own_id}: runs {attempt}, {target}, after event {from}"));

            running.fetch_add(1, Ordering::Relaxed);
            let result = answer(request, stream, &own_id, &attempt, script(request), &is_gone);
            running.fetch_sub(1, Ordering::Relaxed);
            own_runs.lock().unwrap()[place].ended = Some((own_record.ms(), result.is_ok()));
            own_record.line(&match result.is_ok() {
                true => format!("{own_id}: ends {attempt}"),
                false if is_gone.load(Ordering::Relaxed) => {
                    format!("{own_id}: gone, {attempt} ends")
                }
                false => format!("{own_id}: channel of {attempt} closed by its sender"),
            });
            result.map(|()| true)
        });
        let sequence = AtomicU64::new(0);
        let entry = format!("\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{born}");
        let server =
            Server { id: id.to_string(), address, store: store.clone(), has_crashed, runs };
        let (store, key, has_crashed) =
            (store.clone(), id.to_string(), Arc::clone(&server.has_crashed));
        std::thread::spawn(move || {
            while !has_crashed.load(Ordering::Relaxed) {
                let sequence = sequence.fetch_add(1, Ordering::Relaxed);
                let entry = format!("{{{entry},\"sequence\":{sequence}}}");
                store.put("keyed.servers", &key, entry.as_bytes());
                sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Ends the server for good: its channels end, nothing listens at its address, and its entry is
    /// removed after three intervals of silence.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
        let (store, id) = (self.store.clone(), self.id.clone());
        std::thread::spawn(move || {
            sleep(HEARTBEAT * 3);
            store.put("keyed.servers", &id, b"");
        });
    }
}

fn answer(
    request: &Message,
    stream: &mut TcpStream,
    server: &str,
    attempt: &str,
    reply: Reply,
    has_crashed: &AtomicBool,
) -> std::io::Result<()> {
    let own = [
        ("X-Bulrushspread-Attempt-Id", attempt.to_string()),
        ("X-Bulrushspread-Response-Seal", format!("seal-{server}")),
    ];
    let (data, pause) = match reply {
        Reply::Page { status, body } => return http::write(stream, status, &own, &body),
        Reply::Events { data, pause } => (data, pause),
    };
    let mut head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            .to_string();
    for (name, value) in own {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    stream.write_all(head.as_bytes())?;
    let after: usize =
        request.header("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
    for (index, data) in data.iter().enumerate().skip(after) {
        sleep(pause);
        if has_crashed.load(Ordering::Relaxed) {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let event = [format!("id: {}\ndata: ", index + 1).as_bytes(), data, b"\n\n"].concat();
        stream
            .write_all(&[format!("{:x}\r\n", event.len()).as_bytes(), &event, b"\r\n"].concat())?;
    }
    stream.write_all(b"0\r\n\r\n")
}
