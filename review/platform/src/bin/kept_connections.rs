//! No case, see REPORT.md. Arguments: the root of the project, the file of the record.
//! The operator raises what a request's head may hold; clients go on with kept connections.

use review_stand_ins::engine::{self, Engine, List, Runs};
use review_stand_ins::http::{self, Reader};
use review_stand_ins::operator::{self, Route, HOST, KEY};
use review_stand_ins::record::Record;
use review_stand_ins::site::Site;
use review_stand_ins::{BROKEN, HELD, NOT_RUN};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 30;
const SMALL_LIMIT: u64 = 16_384;
const LARGE_LIMIT: u64 = 65_536;
/// Parts of the prompt that a later request lists: 39,000 bytes or so.
const PARTS: usize = 3_000;
/// From the acknowledgement on; the change must be in force after 3 s.
const IN_FORCE: Duration = Duration::from_secs(5);

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

fn document(revision: u64, limit: u64) -> String {
    let route = Route {
        name: "small",
        path: "/small/",
        kind: "safe",
        service: "web",
        give_up_ms: 6_000,
        tries: 2,
        pick_up: false,
    };
    operator::document(revision, &[route], &["web"], limit)
}

/// The status of one request on a connection; 0 for none.
fn send(reader: &mut Reader, id: &str, parts: Option<&str>, record: &Record) -> u16 {
    let authorization = format!("Bearer {KEY}");
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Time-Left-Ms", "6000"),
        ("Authorization", &authorization),
    ];
    if let Some(parts) = parts {
        headers.push(("Prompt-Start", parts));
    }
    let within = Duration::from_secs(6);
    let answer = http::exchange(reader, "POST", "/small/1", &headers, b"{}", within);
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    record.note(format!("request {id}: {status}"));
    status
}

fn connect(to: SocketAddr) -> io::Result<Reader> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(Reader::new(stream))
}

fn run(root: &std::path::Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let mut site = Site::new(root, 5, 2, record.clone())?;
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
    site.start_all()?;
    let controls = site.controls();
    let put = |base: u64, text: &str| {
        let within = Duration::from_secs(20);
        operator::order(
            &controls,
            "PUT",
            "/api/config",
            Some(base),
            text,
            within,
            record,
        )
    };
    let first = match has_trouble {
        true => SMALL_LIMIT,
        false => LARGE_LIMIT,
    };
    if put(0, &document(1, first)) != Some(200) {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    thread::sleep(IN_FORCE);
    let routers = site.routers();
    let mut kept = Vec::new();
    for number in 0..CLIENTS {
        let router = routers[number % routers.len()];
        let mut reader = connect(site.front(router).into())?;
        let status = send(&mut reader, &format!("small-{number:04x}"), None, record);
        if status != 200 {
            return Err(io::Error::other(format!("a first request got {status}")));
        }
        kept.push(reader);
    }
    if has_trouble && put(1, &document(2, LARGE_LIMIT)) != Some(200) {
        return Err(io::Error::other("the change was not taken"));
    }
    thread::sleep(IN_FORCE);
    let parts: Vec<String> = (0..PARTS)
        .map(|part| format!("{:08x}:16", part * 7_919))
        .collect();
    let parts = parts.join(", ");
    record.note(format!(
        "heads are now {} bytes and more; {LARGE_LIMIT} are allowed",
        parts.len()
    ));
    let mut denied = 0;
    for (number, reader) in kept.iter_mut().enumerate() {
        let status = send(reader, &format!("kept-{number:04x}"), Some(&parts), record);
        denied += usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let mut denied_new = 0;
    for number in 0..CLIENTS {
        let router = routers[number % routers.len()];
        let mut reader = connect(site.front(router).into())?;
        let status = send(
            &mut reader,
            &format!("new-{number:04x}"),
            Some(&parts),
            record,
        );
        denied_new += usize::from((300..500).contains(&status));
    }
    let all = 3 * CLIENTS;
    record.note(format!(
        "denied: {denied} of {CLIENTS} on kept connections, {denied_new} of {CLIENTS} on new ones, \
         of {all} requests in all; allowed: 5 and one in 500"
    ));
    Ok((denied + denied_new) * 500 <= 5 * 500 + all)
}
