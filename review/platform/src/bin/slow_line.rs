//! The routers are told to leave, one after the other, while clients on slow lines still read their answers.

use review_stand_ins::engine::{self, Engine, List, Runs};
use review_stand_ins::http::Reader;
use review_stand_ins::operator::{self, Route, HOST, KEY};
use review_stand_ins::record::Record;
use review_stand_ins::site::Site;
use review_stand_ins::{http, sys, BROKEN, HELD, NOT_RUN};
use std::io::{self, Write};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each router, and how long after one another they send their requests.
const CLIENTS: usize = 80;
const APART: Duration = Duration::from_millis(18);
/// Between the signals to two routers.
const GAP: Duration = Duration::from_millis(1_300);
/// Bytes of an answer: at least, and at most so many more.
const ANSWER_BYTES: usize = 3_000_000;
const MORE_BYTES: usize = 800_000;
/// Bytes that the client's line carries in each step, and the length of a step.
const LINE_BYTES: usize = 10_000;
const LINE_STEP: Duration = Duration::from_millis(20);
/// How long after the first request the machine is told to leave.
const TERM_AFTER: Duration = Duration::from_millis(1_700);
const DEADLINE_MS: u64 = 12_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let root = PathBuf::from(arguments.next().expect("the root of the project"));
    let to = PathBuf::from(arguments.next().expect("the file of the record"));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::default();
    let code = match run(&root, &record, has_trouble) {
        Ok(true) => HELD,
        Ok(false) => BROKEN,
        Err(error) => {
            record.note(format!("could not run: {error}"));
            NOT_RUN
        }
    };
    record.write(&to);
    std::process::exit(code);
}

fn run(root: &std::path::Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::new(root, 5, 3, record.clone())?;
    let list: List = Arc::default();
    let runs: Runs = Arc::default();
    engine::serve_list(site.bind_list()?, Arc::clone(&list));
    let listener = site.bind_engine(0)?;
    let own = Engine {
        id: "i-1".into(),
        service: "web".into(),
        zone: "kol-a".into(),
        address: listener.local_addr()?,
        state: "ready".into(),
    };
    list.lock().unwrap().push(own.clone());
    let answered = record.clone();
    engine::serve(
        listener,
        own,
        Arc::clone(&runs),
        record.clone(),
        Arc::new(move |head, _, stream| {
            let last = head.target().rsplit('/').next().unwrap_or("");
            let bytes = last.parse().unwrap_or(20);
            stream.write_all(&engine::whole_answer(head, &vec![b'x'; bytes]))?;
            let id = head.get("Request-Id").unwrap_or("").to_string();
            answered.note(format!(
                "the engine has sent its whole answer to {id}: {bytes} bytes"
            ));
            Ok(true)
        }),
    );
    site.start_all()?;
    let document = operator::document(
        1,
        &[Route {
            name: "big",
            path: "/big/",
            kind: "unsafe",
            service: "web",
            give_up_ms: DEADLINE_MS,
            tries: 1,
            pick_up: false,
        }],
        &["web"],
        16_384,
    );
    let controls = site.controls();
    let within = Duration::from_secs(20);
    let status = operator::order(
        &controls,
        "PUT",
        "/api/config",
        Some(0),
        &document,
        within,
        record,
    );
    if status != Some(200) {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(5));
    let routers = site.routers();
    for router in &routers {
        let second = Duration::from_secs(1);
        let ready = http::call(
            site.ready(*router),
            "GET",
            "/api/ready",
            &[("Host", "r")],
            &[],
            second,
        )?;
        if ready.status != 200 {
            return Err(io::Error::other("a router is not ready"));
        }
    }
    let mut clients = Vec::new();
    for (turn, router) in routers.iter().enumerate() {
        let front = site.front(*router);
        for number in 0..CLIENTS {
            let record = record.clone();
            clients.push(thread::spawn(move || {
                thread::sleep(GAP * turn as u32 + APART * number as u32);
                client(front, turn * CLIENTS + number, &record)
            }));
        }
    }
    if has_trouble {
        stop_in_turn(&mut site, &routers, record);
    }
    let mut cut = 0;
    let count = clients.len();
    for client in clients {
        match client.join() {
            Ok(Ok(true)) => {}
            Ok(Ok(false)) => cut += 1,
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(io::Error::other("a client ended")),
        }
    }
    let run_count = runs.lock().unwrap().len();
    record.note(format!(
        "engines ran {run_count} requests; {cut} of {count} answers were cut"
    ));
    Ok(cut == 0)
}

/// Tells each router to leave, and ends it after the grace if it is still there.
fn stop_in_turn(site: &mut Site, routers: &[usize], record: &Record) {
    let began = Instant::now();
    let due = |turn: usize| TERM_AFTER + GAP * turn as u32;
    let mut told = vec![false; routers.len()];
    let mut ended = vec![false; routers.len()];
    while !ended.iter().all(|ended| *ended) {
        for (turn, router) in routers.iter().enumerate() {
            let since = began.elapsed().checked_sub(due(turn));
            match since {
                Some(_) if !told[turn] => {
                    told[turn] = true;
                    site.signal(*router, sys::SIGTERM);
                }
                Some(since) if !ended[turn] && site.has_ended(*router) => {
                    ended[turn] = true;
                    record.note(format!(
                        "the process of {} has ended, {:.1} s after the signal",
                        site.machines[*router].name,
                        since.as_secs_f64()
                    ));
                }
                Some(since) if !ended[turn] && since > Duration::from_secs(8) => {
                    ended[turn] = true;
                    site.kill(*router);
                }
                _ => {}
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// One client: whether its answer was whole.
fn client(front: SocketAddrV4, number: usize, record: &Record) -> io::Result<bool> {
    let stream = sys::connect_slow_line(front, 32 << 10)?;
    let mut reader = Reader::new(stream);
    let id = format!("9c41d07be2a3{number:04x}");
    let request = format!(
        "POST /big/{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Time-Left-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\n{{}}",
        ANSWER_BYTES + number * 7_919 * 101 % MORE_BYTES
    );
    record.note(format!("client {number}: sends request {id}"));
    let sent = Instant::now();
    reader.stream.write_all(request.as_bytes())?;
    reader
        .stream
        .set_read_timeout(Some(Duration::from_secs(12)))?;
    let head = reader.head()?.ok_or(io::Error::other("no answer"))?;
    let length = head
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    if head.status() != 200 {
        return Err(io::Error::other("the request was not served"));
    }
    let mut got = 0;
    let end = loop {
        thread::sleep(LINE_STEP);
        match reader.some(LINE_BYTES) {
            Ok(bytes) if bytes.is_empty() => break "the connection is closed".to_string(),
            Ok(bytes) => got += bytes.len(),
            Err(error) => break format!("the connection ends: {error}"),
        }
        if got >= length {
            break "the answer is whole".to_string();
        }
    };
    record.note(format!(
        "client {number}: {end} after {got} of {length} bytes, {:.1} s after its request was sent",
        sent.elapsed().as_secs_f64()
    ));
    Ok(got == length)
}
