//! An engine goes dark in the middle of its answers, on a route with a short time-out.

use review_stand_ins::engine::{self, Engine, List, Runs};
use review_stand_ins::http::{self, Reader};
use review_stand_ins::operator::{self, Route, HOST, KEY};
use review_stand_ins::record::Record;
use review_stand_ins::site::{Site, ZONES};
use review_stand_ins::{BROKEN, HELD, NOT_RUN};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
const CLIENTS: usize = 90;
const GIVE_UP: Duration = Duration::from_millis(3_000);
const SLACK: Duration = Duration::from_millis(500);
/// The engine is lost: it is silent until all clients have given up.
const DARK: Duration = Duration::from_millis(20_000);
/// The clients' own deadline.
const DEADLINE: Duration = Duration::from_millis(12_000);
/// An answer of a sound engine: two halves with this time between them.
const WORK: Duration = Duration::from_millis(400);
const HALF_BYTES: usize = 400;

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
    // Since when the first engine is dark.
    let dark_since: Arc<Mutex<Option<Instant>>> = Arc::default();
    let goes_dark = Arc::new(AtomicBool::new(false));
    for number in 0..ENGINES {
        let listener = site.bind_engine(number as u8)?;
        let own = Engine {
            id: format!("i-{number}"),
            service: "web".into(),
            zone: ZONES[number % ZONES.len()].0.into(),
            address: listener.local_addr()?,
            state: "ready".into(),
        };
        list.lock().unwrap().push(own.clone());
        let (dark_since, goes_dark) = (Arc::clone(&dark_since), Arc::clone(&goes_dark));
        engine::serve(
            listener,
            own,
            Arc::clone(&runs),
            record.clone(),
            Arc::new(move |head, _, stream| {
                let bytes = engine::whole_answer(head, &vec![b'x'; 2 * HALF_BYTES]);
                let (first, second) = bytes.split_at(bytes.len() - HALF_BYTES);
                stream.write_all(first)?;
                thread::sleep(WORK);
                if number == 0 && goes_dark.load(Ordering::SeqCst) {
                    let since = *dark_since.lock().unwrap().get_or_insert_with(Instant::now);
                    thread::sleep(DARK.saturating_sub(since.elapsed()));
                }
                stream.write_all(second)?;
                Ok(true)
            }),
        );
    }
    site.start_all()?;
    let route = Route {
        name: "thumbs",
        path: "/thumbs/",
        kind: "safe",
        service: "web",
        give_up_ms: GIVE_UP.as_millis() as u64,
        tries: 2,
        pick_up: false,
    };
    let document = operator::document(1, &[route], &["web"], 16_384);
    let controls = site.controls();
    let within = Duration::from_secs(20);
    let taken = operator::order(
        &controls,
        "PUT",
        "/api/config",
        Some(0),
        &document,
        within,
        record,
    );
    if taken != Some(200) {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        record.note("the first of 6 engines goes dark in the middle of its answers, for good");
        goes_dark.store(true, Ordering::SeqCst);
    }
    let routers = site.routers();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let front = site.front(routers[number % routers.len()]).into();
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(3 * number as u64));
                client(front, number, &record)
            })
        })
        .collect();
    let mut ends = Vec::new();
    for client in clients {
        ends.push(
            client
                .join()
                .map_err(|_| io::Error::other("a client ended"))??,
        );
    }
    let longer = ends.iter().filter(|end| **end > GIVE_UP).count();
    let open = ends.iter().filter(|end| **end > GIVE_UP + SLACK).count();
    record.note(format!(
        "{longer} of {CLIENTS} requests last longer than {GIVE_UP:?}; {open} of them have no end \
         {SLACK:?} after it; allowed: 7, or a quarter"
    ));
    Ok(open < 8 || 4 * open <= longer)
}

/// One client: after what time its request had an end of any kind.
fn client(front: SocketAddr, number: usize, record: &Record) -> io::Result<Duration> {
    let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream);
    let id = format!("5f41d07be2a3{number:04x}");
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id.as_str()),
        ("Time-Left-Ms", "12000"),
        ("Authorization", &authorization),
    ];
    let sent = Instant::now();
    let answer = http::exchange(&mut reader, "POST", "/thumbs/1", &headers, b"{}", DEADLINE);
    let took = sent.elapsed();
    let end = match answer {
        Ok(answer) => format!("{}, {} bytes", answer.status, answer.body.len()),
        Err(error) => format!("no whole answer: {error}"),
    };
    record.note(format!(
        "request {id}: {end}, after {:.2} s",
        took.as_secs_f64()
    ));
    Ok(took)
}
