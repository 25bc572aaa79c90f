//! Framed TCP links between rushport's own processes.

use anyhow::{anyhow, bail, Context};
use protocol::codec::{decode_length, LENGTH_BYTES};
use protocol::{ConnectionKind, Frame, FrameError};
use std::net::SocketAddr;
use std::time::Duration;
use telemetry::traffic;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long connecting may take, and how long a first frame.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a connection may take to come up. Invariant: longer than a way there
/// and back between any two regions; a machine without power says nothing at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Dials out from `source`'s address, so that a cut between two machines is
/// a cut in both directions.
pub async fn connect(source: SocketAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match to.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    if source.is_ipv4() == to.is_ipv4() && !source.ip().is_unspecified() {
        socket.bind(SocketAddr::new(source.ip(), 0))?;
    }
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(to))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Dials and says hello.
pub async fn dial(
    source: SocketAddr,
    to: SocketAddr,
    kind: ConnectionKind,
    name: &str,
) -> anyhow::Result<TcpStream> {
    let mut stream = connect(source, to)
        .await
        .with_context(|| format!("dialling {to}"))?;
    let hello = Frame::Hello {
        version: protocol::VERSION,
        kind,
        name: name.into(),
    };
    send(&mut stream, &hello).await?;
    Ok(stream)
}

pub async fn send(to: &mut (impl AsyncWrite + Unpin), frame: &Frame) -> anyhow::Result<()> {
    let bytes = protocol::encode(frame);
    to.write_all(&bytes).await?;
    traffic::count_sent(&bytes);
    Ok(())
}

/// Reads one frame. `None`: the other side closed between frames.
///
/// # Errors
/// A [`FrameError`] where the bytes are no frame, or an I/O error. The connection is of
/// no use after either.
pub async fn receive(
    from: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> anyhow::Result<Option<Frame>> {
    let mut length = [0; LENGTH_BYTES];
    if let Err(error) = from.read_exact(&mut length).await {
        return match error.kind() {
            std::io::ErrorKind::UnexpectedEof => Ok(None),
            _ => Err(error.into()),
        };
    }
    let expected_bytes = decode_length(length, max_bytes)?;
    let mut bytes = Vec::with_capacity(expected_bytes.min(1 << 16));
    let seen_bytes = from
        .take(expected_bytes as u64)
        .read_to_end(&mut bytes)
        .await?;
    if seen_bytes < expected_bytes {
        bail!(FrameError::Truncated {
            expected_bytes,
            seen_bytes,
        });
    }
    traffic::count_received(&bytes);
    let frame = protocol::decode(&bytes).context("an unreadable frame")?;
    Ok(Some(frame))
}

/// Accepts connections for good, each served by a task of its own.
pub async fn accept<F, W>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> W,
    W: std::future::Future<Output = anyhow::Result<()>> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let work = serve(stream);
                tokio::spawn(async move {
                    if let Err(error) = work.await {
                        log::info!("a connection from {from} was closed: {error:#}");
                    }
                });
            }
            Err(error) => {
                log::warn!("accepting failed: {error}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Reads the hello of an accepted connection. Another version of the protocol is
/// refused with a text, and returned as [`FrameError::OtherVersion`].
pub async fn accept_handshake(stream: &mut TcpStream) -> anyhow::Result<(ConnectionKind, String)> {
    stream.set_nodelay(true)?;
    let frame = tokio::time::timeout(
        HANDSHAKE_TIMEOUT * 5,
        receive(stream, protocol::MAX_HELLO_BYTES),
    )
    .await
    .map_err(|_| anyhow!("no hello came"))??;
    match frame {
        Some(Frame::Hello {
            version,
            kind,
            name,
        }) => {
            if let Err(error) = protocol::check_version(&name, version) {
                let text = error.to_string();
                send(stream, &Frame::Refused { text }).await?;
                return Err(error.into());
            }
            Ok((kind, name))
        }
        Some(_) => Err(anyhow!("the first frame is no hello")),
        None => Err(anyhow!("closed before a hello")),
    }
}
