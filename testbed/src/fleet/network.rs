//! Partitions of a fleet's network.

use super::process::PEER_PORT;
use super::{Fleet, FleetError, Process};
use crate::relay::Network;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The third octet of a relay's address, beyond that of its process.
const RELAY_ROW_OFFSET: u8 = 100;

impl Fleet {
    /// Puts a relay before every process, so that the network can be partitioned. To be
    /// called before anything is started.
    ///
    /// # Errors
    ///
    /// Where a relay can't listen.
    pub async fn relay(&mut self) -> Result<(), FleetError> {
        let network = Network::new();
        for process in self.processes.values_mut() {
            let IpAddr::V4(ip) = process.ip else {
                unreachable!("the fleet gives addresses of version 4 alone")
            };
            let [first, second, row, last] = ip.octets();
            let relay_ip = Ipv4Addr::new(first, second, row + RELAY_ROW_OFFSET, last);
            process.advertised_ip = IpAddr::V4(relay_ip);
            let real = SocketAddr::new(process.ip, PEER_PORT);
            network.relay(process.address(), real).await?;
        }
        self.network = Some(network);
        Ok(())
    }

    /// Partitions some processes from all others: what they send, what they are sent, or
    /// both waits until the partition ends.
    ///
    /// # Errors
    ///
    /// Where the fleet has no relays.
    pub fn partition(
        &self,
        names: &[String],
        is_outbound: bool,
        is_inbound: bool,
    ) -> Result<(), FleetError> {
        let network = self.network.as_ref().ok_or(FleetError::NoRelays)?;
        let is_inside = |process: &&Process| names.contains(&process.name);
        let (inside, outside): (Vec<&Process>, Vec<&Process>) =
            self.processes.values().partition(is_inside);
        for inside in &inside {
            for outside in &outside {
                network.cut(is_outbound.then_some((inside.ip, outside.ip)));
                network.cut(is_inbound.then_some((outside.ip, inside.ip)));
            }
        }
        Ok(())
    }
}
