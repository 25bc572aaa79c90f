//! An order that a cut holds up arrives after the operator has given the opposite one.

use review_stand_ins::engine::{self, Engine, List, Runs};
use review_stand_ins::http;
use review_stand_ins::operator::{self, Route, HOST, KEY};
use review_stand_ins::proxy::Way;
use review_stand_ins::record::Record;
use review_stand_ins::site::{Site, ZONES};
use review_stand_ins::{BROKEN, HELD, NOT_RUN};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const EVACUATED: &str = "kol-a";
const ORDER: &str = "/api/evacuate/kol-a";
/// The node whose way to the operator is cut.
const CUT_NODE: usize = 1;
const CUT: Duration = Duration::from_millis(6_000);
/// Bound of the rule, after the acknowledgement.
const IN_FORCE: Duration = Duration::from_millis(5_000);
const BETWEEN_REQUESTS: Duration = Duration::from_millis(40);

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
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let listener = site.bind_engine(number as u8)?;
        let own = Engine {
            id: format!("i-{zone}"),
            service: "web".into(),
            zone: zone.to_string(),
            address: listener.local_addr()?,
            state: "ready".into(),
        };
        list.lock().unwrap().push(own.clone());
        engine::serve(
            listener,
            own,
            Arc::clone(&runs),
            record.clone(),
            Arc::new(|head, _, stream| {
                stream.write_all(&engine::whole_answer(head, b"a whole answer"))?;
                Ok(true)
            }),
        );
    }
    // The operator reaches each node by a way of its own.
    let mut nodes: Vec<SocketAddr> = Vec::new();
    let ways: Vec<Way> = site.directories().iter().map(|_| Way::default()).collect();
    for (number, way) in ways.iter().enumerate() {
        let listener = site.bind_engine(20 + number as u8)?;
        nodes.push(listener.local_addr()?);
        way.serve(listener, site.control(number));
    }
    site.start_all()?;
    let route = Route {
        name: "web",
        path: "/web/",
        kind: "safe",
        service: "web",
        give_up_ms: 6_000,
        tries: 2,
        pick_up: false,
    };
    let document = operator::document(1, &[route], &["web"], 16_384);
    let long = Duration::from_secs(20);
    if operator::order(
        &nodes,
        "PUT",
        "/api/config",
        Some(0),
        &document,
        long,
        record,
    ) != Some(200)
    {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = site
        .routers()
        .into_iter()
        .map(|router| {
            let (front, is_over) = (site.front(router).into(), Arc::clone(&is_over));
            thread::spawn(move || client(front, router, &is_over))
        })
        .collect();
    let within = Duration::from_millis(5_000);
    // The order in which the operator picks the nodes.
    let order_from = |first: usize, method: &str| {
        let mut picked = nodes.clone();
        picked.rotate_left(first);
        operator::order(&picked, method, ORDER, None, "", within, record)
    };
    if order_from(2, "POST") != Some(200) {
        return Err(io::Error::other("the zone was not evacuated"));
    }
    thread::sleep(Duration::from_secs(7));
    let cut_at = Instant::now();
    if has_trouble {
        record.note("the way from the operator to the second node is cut");
        ways[CUT_NODE].cut(true);
    }
    if order_from(CUT_NODE, "DELETE") != Some(200) {
        return Err(io::Error::other("the zone was not taken back"));
    }
    thread::sleep(Duration::from_millis(1_500));
    if order_from(2, "POST") != Some(200) {
        return Err(io::Error::other("the zone was not evacuated again"));
    }
    let acknowledged_ms = record.ms();
    record.note("the zone is evacuated again, and stays so until the end");
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble {
        record.note("the cut ends");
        ways[CUT_NODE].cut(false);
    }
    thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::SeqCst);
    let mut served = 0;
    for client in clients {
        served += client
            .join()
            .map_err(|_| io::Error::other("a client ended"))?;
    }
    let due_ms = acknowledged_ms + IN_FORCE.as_millis() as u64;
    let engine = format!("i-{EVACUATED}");
    let runs = runs.lock().unwrap();
    let late: Vec<u64> = runs
        .iter()
        .filter(|run| run.engine == engine && run.at_ms > due_ms)
        .map(|run| run.at_ms)
        .collect();
    record.note(format!(
        "{served} requests were served; {} reached the engine of the evacuated zone later than \
         5 s after the acknowledgement, at {:.1} s to {:.1} s",
        late.len(),
        late.first().copied().unwrap_or(0) as f64 / 1_000.0,
        late.last().copied().unwrap_or(0) as f64 / 1_000.0
    ));
    Ok(late.is_empty())
}

/// Sends one request after another; how many were served.
fn client(front: SocketAddr, router: usize, is_over: &AtomicBool) -> usize {
    let authorization = format!("Bearer {KEY}");
    let mut served = 0;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{router:04x}{number:08x}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", id.as_str()),
            ("Time-Left-Ms", "6000"),
            ("Authorization", &authorization),
        ];
        let answer = http::call(
            front,
            "POST",
            "/web/1",
            &headers,
            b"{}",
            Duration::from_secs(6),
        );
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        thread::sleep(BETWEEN_REQUESTS);
    }
    served
}
