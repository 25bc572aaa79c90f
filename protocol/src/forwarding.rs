//! A request that a router forwards through a directory node, one connection each.
//!
//! The node sends `Ready` before the router sends a byte of the request; `Continue`
//! once it has read the routing key and the rest of the body may follow; the mapping,
//! so that the router can cache it; then the response, which is complete only with
//! `ResponseEnd`. `Rejected` takes the place of a response at any point before its head.

use crate::codec::{read_flag, write_flag};
use binrw::binrw;
use consensus::codec::{read_bytes, read_list, read_string, write_bytes, write_list, write_string};
use residency::Epoch;

/// One HTTP header.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, in lower case.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub name: String,
    /// Its value, which need not be UTF-8.
    #[br(parse_with = read_bytes)]
    #[bw(write_with = write_bytes)]
    pub value: Vec<u8>,
}

/// The head of a forwarded request.
#[binrw]
#[brw(big)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// The request's id, as in the logs of router and engine.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub id: String,
    /// The HTTP method.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub method: String,
    /// Path and query.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub target: String,
    /// The headers that go to the engine.
    #[br(parse_with = read_list)]
    #[bw(write_with = write_list)]
    pub headers: Vec<Header>,
    /// The router's region, which counts as the client's.
    #[br(parse_with = read_string)]
    #[bw(write_with = write_string)]
    pub client_region: String,
    /// The epoch in force at the router; the node resolves by no older state.
    pub epoch: Epoch,
    /// What is left of the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The router has charged the tenant's quota; otherwise the node does, once it has
    /// read the key.
    #[br(parse_with = read_flag)]
    #[bw(write_with = write_flag)]
    pub is_quota_charged: bool,
}
