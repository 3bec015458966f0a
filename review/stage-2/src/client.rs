//! A client of batch jobs: its calls arrive on new channels, with the route's Host.

use std::{
    net::SocketAddr,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message},
    json::{self, Value},
    record::Record,
};

pub const HOST: &str = "ficu95.example";

#[derive(Clone)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub tokens: u64,
}

impl Item {
    pub fn new(id: &str, path: &str) -> Item {
        let headers = [
            ("X-Bulrushspread-Model", "m"),
            ("X-Bulrushspread-Token-Usage", "540,400"),
            ("X-Bulrushspread-Prompt-Prefix", "9c2e41:300,5d07b8:240"),
        ];
        Item {
            id: id.to_string(),
            path: path.to_string(),
            headers: headers.map(|(name, value)| (name.to_string(), value.to_string())).to_vec(),
            body: format!("body of {id}").into_bytes(),
            tokens: 940,
        }
    }

    fn encode(&self) -> String {
        let headers: Vec<String> = self
            .headers
            .iter()
            .map(|(name, value)| format!("{}:{}", json::quote(name), json::quote(value)))
            .collect();
        format!(
            "{{\"id\":{},\"path\":{},\"headers\":{{{}}},\"body\":\"{}\",\"tokens\":{}}}",
            json::quote(&self.id),
            json::quote(&self.path),
            headers.join(","),
            json::base64(&self.body),
            self.tokens
        )
    }
}

/// One listed result.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub id: String,
    pub state: String,
    pub output: String,
}

/// The answer to a read of results.
#[derive(Clone, Debug)]
pub enum Page {
    Results {
        results: Vec<Listed>,
    },
    /// Another status, or no answer (0).
    Status(u16),
    /// A 200 whose body is no page of results.
    Foreign,
}

pub struct Client {
    pub record: Record,
}

impl Client {
    fn call(
        &self,
        front: SocketAddr,
        method: &str,
        target: &str,
        extra: &[(&str, String)],
        body: &[u8],
    ) -> Option<Message> {
        let mut headers = vec![("Host", HOST.to_string())];
        headers.extend(extra.iter().cloned());
        let answer =
            http::call(front, method, target, &headers, body, Duration::from_millis(5_500));
        answer.filter(|answer| answer.is_complete)
    }

    /// Submits a job at one of `fronts` after the other until it is accepted or refused for good.
    pub fn submit(
        &self,
        fronts: &[SocketAddr],
        path: &str,
        job: &str,
        items: &[Item],
        within: Duration,
    ) -> u16 {
        let items: Vec<String> = items.iter().map(Item::encode).collect();
        let body = format!("{{\"items\":[{}]}}", items.join(","));
        let deadline = Instant::now() + within;
        let mut status = 0;
        for front in fronts.iter().cycle() {
            let extra = [
                ("X-Bulrushspread-Attempt-Id", job.to_string()),
                ("X-Bulrushspread-Deadline-Ms", "4000".to_string()),
                ("Content-Type", "application/json".to_string()),
            ];
            let answer = self.call(*front, "POST", path, &extra, body.as_bytes());
            status = answer.map_or(0, |answer| answer.status());
            self.record.line(&format!("client: POST {path} for job {job} at {front}: {status}"));
            if status == 202
                || (400..500).contains(&status) && status != 429
                || Instant::now() > deadline
            {
                break;
            }
            sleep(Duration::from_millis(300));
        }
        status
    }

    pub fn read(&self, front: SocketAddr, job: &str, after: usize) -> Page {
        let target = format!("/api/lots/{job}?after={after}");
        let extra = [("X-Bulrushspread-Wait-Ms", "1000".to_string())];
        let Some(answer) = self.call(front, "GET", &target, &extra, b"") else {
            self.record.line(&format!("client: GET {target} at {front}: no answer"));
            return Page::Status(0);
        };
        if answer.status() != 200 {
            let seal = answer.header("X-Bulrushspread-Response-Seal").unwrap_or("none");
            self.record.line(&format!(
                "client: GET {target} at {front}: {}, seal {seal}",
                answer.status()
            ));
            return Page::Status(answer.status());
        }
        let page = parse_page(&answer.body);
        match &page {
            Some((total, results)) => {
                let states: Vec<String> = results
                    .iter()
                    .map(|result| format!("{} {}", result.id, result.state))
                    .collect();
                self.record.line(&format!(
                    "client: GET {target} at {front}: 200, total {total}, {} results: {}",
                    results.len(),
                    states.join(", ")
                ));
            }
            None => self
                .record
                .line(&format!("client: GET {target} at {front}: 200, but no page of results")),
        }
        page.map_or(Page::Foreign, |(_, results)| Page::Results { results })
    }
}

fn parse_page(body: &[u8]) -> Option<(usize, Vec<Listed>)> {
    let page = json::parse(body)?;
    let total = page.get("total")?.number()? as usize;
    let results = page.get("results")?.list().iter().map(|result| {
        let text = |name: &str| result.get(name).and_then(Value::text).map(str::to_string);
        Some(Listed { id: text("id")?, state: text("state")?, output: text("output")? })
    });
    Some((total, results.collect::<Option<Vec<Listed>>>()?))
}
