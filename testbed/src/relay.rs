//! A network that can be partitioned: relays between loopback addresses. Processes know
//! each other by the relays' addresses, and connect from their own, so a relay knows both
//! ends of every connection.

use parking_lot::Mutex;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// All relays of a fleet. Invariant: what is sent from `a` to `b` waits while `(a, b)` is cut, as it
/// would in a network that drops packets until it comes back.
pub struct Network {
    cuts: watch::Sender<BTreeSet<(IpAddr, IpAddr)>>,
    relays: Mutex<Vec<tokio::task::AbortHandle>>,
    drops_new: AtomicBool,
}

impl Network {
    /// A network without relays.
    pub fn new() -> Arc<Network> {
        Arc::new(Network {
            cuts: watch::channel(BTreeSet::new()).0,
            relays: Mutex::default(),
            drops_new: AtomicBool::new(false),
        })
    }

    /// Cuts links, each from a sender to a receiver.
    pub fn cut(&self, pairs: impl IntoIterator<Item = (IpAddr, IpAddr)>) {
        self.cuts.send_modify(|cuts| cuts.extend(pairs));
    }

    /// From now on a connection that is begun during a partition is never made, as where the
    /// first packet is lost; what is sent on it is lost. Otherwise it is made when the
    /// partition ends.
    pub fn drop_new_connections(&self) {
        self.drops_new.store(true, Ordering::Relaxed);
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.cuts.send_modify(|cuts| cuts.clear());
    }

    /// Relays connections to `advertised` to `real`.
    ///
    /// # Errors
    ///
    /// Where `advertised` is taken.
    pub async fn relay(
        self: &Arc<Network>,
        advertised: SocketAddr,
        real: SocketAddr,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind(advertised).await?;
        let network = Arc::clone(self);
        let task = tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let network = Arc::clone(&network);
                tokio::spawn(async move {
                    // Either end's closing, or failing, closes the other.
                    drop(network.join(stream, from.ip(), real).await);
                });
            }
        });
        self.relays.lock().push(task.abort_handle());
        Ok(())
    }

    async fn join(&self, near: TcpStream, from: IpAddr, real: SocketAddr) -> std::io::Result<()> {
        let is_cut = {
            let cuts = self.cuts.borrow();
            cuts.contains(&(from, real.ip())) || cuts.contains(&(real.ip(), from))
        };
        self.wait_while_cut(from, real.ip()).await;
        if is_cut && self.drops_new.load(Ordering::Relaxed) {
            self.wait_while_cut(real.ip(), from).await;
            return Ok(());
        }
        let far = TcpStream::connect(real).await?;
        near.set_nodelay(true)?;
        far.set_nodelay(true)?;
        let (mut near_in, mut near_out) = near.into_split();
        let (mut far_in, mut far_out) = far.into_split();
        let outbound = self.copy(&mut near_in, &mut far_out, from, real.ip());
        let inbound = self.copy(&mut far_in, &mut near_out, real.ip(), from);
        tokio::try_join!(outbound, inbound).map(|_| ())
    }

    /// Waits while a link is cut.
    async fn wait_while_cut(&self, from: IpAddr, to: IpAddr) {
        // The sender lives as long as the network itself.
        let _ = self
            .cuts
            .subscribe()
            .wait_for(|cuts| !cuts.contains(&(from, to)))
            .await;
    }

    async fn copy(
        &self,
        reader: &mut tokio::net::tcp::OwnedReadHalf,
        writer: &mut tokio::net::tcp::OwnedWriteHalf,
        from: IpAddr,
        to: IpAddr,
    ) -> std::io::Result<()> {
        let mut bytes = vec![0; 16 << 10];
        loop {
            let length = reader.read(&mut bytes).await?;
            self.wait_while_cut(from, to).await;
            match length {
                0 => return writer.shutdown().await,
                _ => writer.write_all(&bytes[..length]).await?,
            }
        }
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.relays.lock().iter().for_each(|relay| relay.abort());
    }
}
