//! Engines, and the platform's list of them.

use crate::http::{Head, Reader};
use crate::record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What an engine saw of a request that it ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub head: Head,
    pub body_bytes: usize,
    pub at_ms: u64,
}

impl Run {
    pub fn id(&self) -> &str {
        self.head.get("Request-Id").unwrap_or("")
    }
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// How an engine answers a request that it runs; false ends the connection.
pub type Behaviour = Arc<dyn Fn(&Head, &[u8], &mut TcpStream) -> io::Result<bool> + Send + Sync>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub state: String,
}

/// Engines as the platform lists them.
pub type List = Arc<Mutex<Vec<Engine>>>;

/// Serves the list of engines.
pub fn serve_list(listener: TcpListener, list: List) {
    accept(listener, move |stream| {
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            reader.body(&head)?;
            let entries: Vec<String> = list.lock().unwrap().iter().map(entry).collect();
            let body = format!("{{\"servers\":[{}],\"next_page\":null}}", entries.join(","));
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            reader.stream.write_all(text.as_bytes())?;
        }
        Ok(())
    });
}

fn entry(engine: &Engine) -> String {
    format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\
         \"slot_count\":128,\"state\":\"{}\",\"warm_left_ms\":0,\"id\":\"{}\"}}",
        engine.service, engine.address, engine.zone, engine.state, engine.id
    )
}

/// The answer of a sound engine.
pub fn whole_answer(request: &Head, body: &[u8]) -> Vec<u8> {
    let id = request.get("Request-Id").unwrap_or("");
    let mut bytes = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.{id}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves as one engine: requests that are meant for another one get 421, all others run.
pub fn serve(listener: TcpListener, engine: Engine, runs: Runs, record: Record, does: Behaviour) {
    accept(listener, move |stream| {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let body = reader.body(&head)?;
            if head.get("Expect-Server").is_some_and(|id| id != engine.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\nServer-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    head.get("Request-Id").unwrap_or(""),
                    engine.id
                );
                reader.stream.write_all(text.as_bytes())?;
                continue;
            }
            record.note(format!(
                "engine {} runs request {}",
                engine.id,
                head.get("Request-Id").unwrap_or("without an id")
            ));
            runs.lock().unwrap().push(Run {
                engine: engine.id.clone(),
                head: head.clone(),
                body_bytes: body.len(),
                at_ms: record.ms(),
            });
            if !does(&head, &body, &mut reader.stream)? {
                break;
            }
        }
        Ok(())
    });
}

/// Serves each connection in a thread of its own.
pub fn accept(
    listener: TcpListener,
    serve: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || drop(serve(stream)));
        }
    });
}
