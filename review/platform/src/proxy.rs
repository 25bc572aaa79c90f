//! The way from the operator to one node, which can be cut for some seconds.
//!
//! While it is cut, nothing passes in either direction. What was sent meanwhile arrives when the
//! cut ends, as the kernels on both sides see to: the bytes first, which are sent again until
//! they are acknowledged; the sender's close after them, one round trip later, since it is sent
//! once the bytes have been acknowledged.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// There and back between two regions, at 35 ms one way.
pub const ROUND_TRIP: Duration = Duration::from_millis(70);

#[derive(Clone, Default)]
pub struct Way {
    is_cut: Arc<AtomicBool>,
}

impl Way {
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Returns once the way is whole; whether it was cut before.
    fn wait(&self) -> bool {
        let was_cut = self.is_cut.load(Ordering::SeqCst);
        while self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        was_cut
    }

    /// Passes connections on to a node.
    pub fn serve(&self, listener: TcpListener, to: SocketAddr) {
        let way = self.clone();
        crate::engine::accept(listener, move |operator| way.pass(operator, to));
    }

    fn pass(&self, operator: TcpStream, to: SocketAddr) -> io::Result<()> {
        let node = TcpStream::connect(to)?;
        operator.set_nodelay(true)?;
        node.set_nodelay(true)?;
        let (back, back_to) = (node.try_clone()?, operator.try_clone()?);
        let way = self.clone();
        thread::spawn(move || drop(way.copy(back, back_to)));
        self.copy(operator, node)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            let was_held = self.wait();
            if count == 0 {
                if was_held {
                    thread::sleep(ROUND_TRIP);
                }
                return to.shutdown(Shutdown::Write);
            }
            to.write_all(&buffer[..count])?;
            if was_held {
                // The other side's close can only come a round trip after these bytes.
                thread::sleep(ROUND_TRIP);
            }
        }
    }
}
