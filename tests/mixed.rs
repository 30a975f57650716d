//! Both APIs at once on one process: 40 requests a second for a bounded time, each with one final answer, and no
//! `route-save` at a server twice.

mod player;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const REQUESTS: u32 = 120;
const GAP: Duration = Duration::from_millis(25);
/// `route-save` requests, one of each API, whose connection breaks before the first event or after it.
const BREAK_BEFORE: [u32; 2] = [21, 40];
const BREAK_AFTER: [u32; 2] = [61, 80];

/// One message read from a connection: its head and its body.
fn message(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let field =
        |name: &str| head.lines().find_map(|l| l.to_lowercase().strip_prefix(name).map(str::to_owned));
    let mut body = Vec::new();
    if let Some(length) = field("content-length: ") {
        body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
    } else if field("transfer-encoding: ").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok().filter(|&n| n > 0)?;
            let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
            reader.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..chunk.len() - 2]);
            if chunk.len() == 2 {
                break;
            }
        }
    }
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

type Seen = Arc<Mutex<HashMap<String, u32>>>;

/// A stand-in that counts each request that arrives to be answered, and breaks or turns away some.
fn instance(base: &str, name: &'static str, seen: Seen) {
    let listener = TcpListener::bind(format!("{base}:{}", player::port(name))).expect("a free address");
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let seen = seen.clone();
            std::thread::spawn(move || {
                let _ = socket.set_nodelay(true);
                let mut out = socket.try_clone().expect("a second handle");
                let mut reader = BufReader::new(socket);
                while let Some((head, body)) = message(&mut reader) {
                    if head.starts_with("DELETE") {
                        let _ = out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                        continue;
                    }
                    if name.starts_with('r') {
                        let _ = out.write_all(
                            b"HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cached_tokens\":0}",
                        );
                        continue;
                    }
                    let number =
                        body.split("no ").nth(1).and_then(|t| t.split(' ').next()).unwrap_or_default();
                    *seen.lock().expect("the counts").entry(number.to_owned()).or_default() += 1;
                    match number.parse::<u32>().unwrap_or_default() {
                        n if BREAK_BEFORE.contains(&n) => return, // may have run
                        n if BREAK_AFTER.contains(&n) => {
                            let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: {}\n\r\n");
                            return; // broken in mid-stream
                        }
                        _ => {
                            let _ = out.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n18\r\ndata: {}\n\ndata: [DONE]\n\n\r\n0\r\n\r\n");
                        }
                    }
                }
            });
        }
    });
}

/// How one request ended for its client.
#[derive(Debug, PartialEq)]
enum Ended {
    Whole,
    Cut,
    Status(u32),
}

fn client(base: &str, number: u32) -> Ended {
    let (chat, class) =
        (number.is_multiple_of(2), if number % 4 < 2 { "route-save" } else { "climb-assist" });
    let socket =
        TcpStream::connect(format!("{base}:{}", if chat { 8090 } else { 8081 })).expect("it listens");
    let body = format!(
        r#"{{"model":"{class}","stream":true,"messages":[{{"role":"user","content":"no {number} "}}]}}"#
    );
    let fields = format!(
        "Request-Id: m{number}\r\nRequest-Class: {}\r\nRequest-Timeout-Ms: 60000\r\nRequest-Info: prompt_len=20000,max_out=10\r\n",
        if class == "route-save" { class } else { "climb-query" }
    );
    let mut out = socket.try_clone().expect("a second handle");
    let head =
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{}", if chat { "" } else { &fields });
    write!(out, "{head}Content-Length: {}\r\n\r\n{body}", body.len()).expect("it reads");
    let mut reader = BufReader::new(socket);
    match message(&mut reader) {
        None => Ended::Cut,
        Some((head, body)) => {
            let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or_default();
            // One final answer: nothing may follow it on this connection.
            let _ = out.shutdown(std::net::Shutdown::Write);
            let mut more = Vec::new();
            let _ = reader.read_to_end(&mut more);
            assert!(more.is_empty(), "request {number} got more: {}", String::from_utf8_lossy(&more));
            if status == 200 && body.ends_with("[DONE]\n\n") { Ended::Whole } else { Ended::Status(status) }
        }
    }
}

#[test]
fn both_apis_at_once_give_one_answer_each_and_repeat_no_route_save() {
    let base = player::address();
    let seen = Seen::default();
    for name in ["r1", "w1", "w2", "s1", "s2"] {
        instance(&base, name, seen.clone());
    }
    let list = ["r1", "w1", "w2"].map(|n| player::target(&base, n, "Ready")).join(",");
    let _watch = player::discovery(&base, list);
    let (config, file) = (player::platform(&base), player::chat(&base, &["s1", "s2"], ""));
    let words = ["--chat", file.to_str().expect("a plain path")];
    let mut program = player::Program::start(&base, &words, &[("LB_CONFIG", &config)]);
    program.logs("chat front listens");
    program.logs("ready, with");
    let start = Instant::now();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let base = base.clone();
            std::thread::spawn(move || {
                // The pace of arrivals; no verdict depends on it.
                std::thread::sleep((start + GAP * number).saturating_duration_since(Instant::now()));
                (number, client(&base, number))
            })
        })
        .collect();
    let ended: Vec<_> = clients.into_iter().map(|c| c.join().expect("a client")).collect();
    let log = program.end();
    let seen = seen.lock().expect("the counts");
    for (number, ended) in &ended {
        let (route_save, arrived) = (number % 4 < 2, seen.get(&number.to_string()).copied().unwrap_or(0));
        assert!(!route_save || arrived <= 1, "route-save {number} reached a server {arrived} times");
        match (arrived, BREAK_BEFORE.contains(number), BREAK_AFTER.contains(number)) {
            // Never sent: refused, as trying again is harmless.
            (0, ..) => assert_eq!(*ended, Ended::Status(429), "request {number}"),
            (_, true, _) => assert_eq!(*ended, Ended::Status(502), "request {number}"),
            // A break that overtakes its event is one before it.
            (_, _, true) => assert!([Ended::Cut, Ended::Status(502)].contains(ended), "request {number}"),
            _ => assert_eq!(*ended, Ended::Whole, "request {number}"),
        }
    }
    // Connections are used again once they have settled.
    assert!(!log.contains("\"reuses\":0,"), "{log}");
    let whole = ended.iter().filter(|(_, e)| *e == Ended::Whole).count();
    assert!(whole as u32 > REQUESTS / 2, "only {whole} were served:\n{log}");
    for part in ["counters of platform: ", "counters of chat: "] {
        let line = log.lines().find_map(|l| l.split_once(part)).expect("counters at the end").1;
        let counts: HashMap<String, u32> = serde_json::from_str(line).expect("counters as JSON");
        let finals: u32 =
            ["served", "broken", "refused", "failed", "overdue", "left"].iter().map(|k| counts[*k]).sum();
        assert_eq!((counts["taken"], finals), (REQUESTS / 2, REQUESTS / 2), "{line}");
    }
}
