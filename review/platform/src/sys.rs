//! The few calls of the C library that the standard library does not offer.

use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const SockaddrIn, len: u32) -> i32;
}

/// Sends a signal to a process that this one started.
pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// A connection with packets of the size that a real network has (1,448 bytes), and a receive
/// buffer like that of a client on a slow line: both are options of the client's own socket.
pub fn connect_slow_line(to: SocketAddrV4, receive_bytes: i32) -> io::Result<TcpStream> {
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        // Owns the descriptor from here on.
        let stream = TcpStream::from_raw_fd(fd);
        let set = |level, name, value: i32| match setsockopt(fd, level, name, &value, 4) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        };
        set(SOL_SOCKET, SO_RCVBUF, receive_bytes)?;
        set(IPPROTO_TCP, TCP_MAXSEG, 1_448)?;
        let address = SockaddrIn {
            family: AF_INET as u16,
            port: to.port().to_be(),
            address: u32::from_ne_bytes(to.ip().octets()),
            zero: [0; 8],
        };
        match connect(fd, &address, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
