//! Reading a topology file from JSON.

use super::error::{TopologyErrorKind, TopologyErrors};
use super::reader::{join, Member, Reader};
use super::{fields, Service, Tenant, Topology};
use crate::RequestLimits;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The least urgent that a tenant's requests may be.
const MAX_URGENCY: u64 = 9;

/// The most that the limit on a request's head may be.
const MAX_HEAD_BYTES: u64 = 1 << 20;

/// The most that the limit on a request's body may be.
const BODY_LIMIT_BYTES: u64 = 1 << 30;

impl Topology {
    /// Reads and checks a topology file. Either all of it holds, or every error is
    /// returned.
    pub fn from_json(file: &OwnedValue) -> Result<Topology, TopologyErrors> {
        Topology::from_json_after(file, None)
    }

    /// The same, of a file that replaces another one. Rules that are as before are not
    /// compiled again, which for thousands of routes takes most of the time.
    pub(crate) fn from_json_after(
        file: &OwnedValue,
        previous: Option<&Topology>,
    ) -> Result<Topology, TopologyErrors> {
        let mut reader = Reader::default();
        let known: &[&str] = &[
            fields::ZONES,
            fields::CELLS,
            fields::SERVICES,
            fields::TENANTS,
            fields::RULES,
            fields::LIMITS,
            fields::NEAR,
        ];
        reader.check_fields("", file, known);
        let near = file.get(fields::NEAR).and_then(|near| near.as_bool());
        let mut topology = Topology {
            limits: RequestLimits::default(),
            is_near_first: near.unwrap_or(false),
            keys: BTreeMap::new(),
            zones: BTreeMap::new(),
            cells: BTreeMap::new(),
            services: BTreeMap::new(),
            tenants: BTreeMap::new(),
            rules: String::new(),
            program: Arc::default(),
        };
        topology.read_zones(&mut reader, file);
        topology.read_cells(&mut reader, file);
        let regions: Vec<String> = topology.regions().into_iter().cloned().collect();
        topology.read_services(&mut reader, file, &regions);
        topology.read_tenants(&mut reader, file, &regions);
        if let Some(limits) = file.get(fields::LIMITS) {
            topology.limits = read_limits(&mut reader, limits);
        }
        topology.read_rules(&mut reader, file, &regions, previous);
        match reader.errors.is_empty() {
            true => Ok(topology),
            false => Err(TopologyErrors(reader.errors)),
        }
    }

    fn read_zones(&mut self, reader: &mut Reader, file: &OwnedValue) {
        for zone in reader.members(file, fields::ZONES) {
            reader.check_fields(&zone.path, zone.value, &[fields::REGION]);
            let region = reader.text(&zone.path, zone.value, fields::REGION);
            reader.check_name(&join(&zone.path, fields::REGION), &region);
            self.zones.insert(zone.name.into(), region);
        }
    }

    fn read_cells(&mut self, reader: &mut Reader, file: &OwnedValue) {
        for cell in reader.members(file, fields::CELLS) {
            reader.check_fields(&cell.path, cell.value, &[fields::ZONE]);
            let zone = reader.text(&cell.path, cell.value, fields::ZONE);
            if !self.zones.contains_key(&zone) {
                let kind = TopologyErrorKind::UnknownZone(zone.clone());
                reader.error(join(&cell.path, fields::ZONE), kind);
            }
            self.cells.insert(cell.name.into(), zone);
        }
    }

    fn read_services(&mut self, reader: &mut Reader, file: &OwnedValue, regions: &[String]) {
        for service in reader.members(file, fields::SERVICES) {
            let (path, value) = (&service.path, service.value);
            let known = &[
                fields::HOMES,
                fields::CONNECTIONS,
                fields::WARM,
                fields::WARM_PACE,
            ];
            reader.check_fields(path, value, known);
            let read = Service {
                homes: read_homes(reader, path, value, regions),
                max_connections: reader.count(path, value, fields::CONNECTIONS),
                warm_up_requests_per_s: reader.count(path, value, fields::WARM_PACE),
                warm_up_ms: reader.duration_ms(path, value, fields::WARM).unwrap_or(0),
            };
            self.services.insert(service.name.into(), read);
        }
    }

    fn read_tenants(&mut self, reader: &mut Reader, file: &OwnedValue, regions: &[String]) {
        for member in reader.members(file, fields::TENANTS) {
            let tenant = self.read_tenant(reader, &member, regions);
            self.tenants.insert(member.name.into(), tenant);
        }
    }

    fn read_tenant(&mut self, reader: &mut Reader, member: &Member, regions: &[String]) -> Tenant {
        let (path, value) = (&member.path, member.value);
        let known = &[
            fields::HOMES,
            fields::SERVICES,
            fields::PACE,
            fields::BURST,
            fields::FRESH,
            fields::EXPIRE,
            fields::URGENCY,
            fields::KEYS,
        ];
        reader.check_fields(path, value, known);
        let services = reader.texts(path, value, fields::SERVICES);
        for (at, service) in services.iter().enumerate() {
            if !self.services.contains_key(service) {
                let kind = TopologyErrorKind::UnknownService(service.clone());
                reader.error(format!("{path}.{}[{at}]", fields::SERVICES), kind);
            }
        }
        let digests = reader.digests(path, value, fields::KEYS);
        let requests_per_s = reader.count(path, value, fields::PACE);
        let burst = match reader.count(path, value, fields::BURST) {
            0 => requests_per_s * 2,
            burst => burst,
        };
        let homes = read_homes(reader, path, value, regions);
        let fresh_ms = reader.duration_ms(path, value, fields::FRESH);
        let expire_ms = reader.duration_ms(path, value, fields::EXPIRE);
        let urgency = value
            .get(fields::URGENCY)
            .map(|_| reader.count(path, value, fields::URGENCY).min(MAX_URGENCY) as u8);
        for digest in digests {
            let other = self.keys.insert(digest, member.name.into());
            if let Some(other) = other.filter(|other| *other != member.name) {
                reader.error(path, TopologyErrorKind::KeyOfOtherTenant(other));
            }
        }
        if expire_ms.is_some() && fresh_ms > expire_ms {
            let kind = TopologyErrorKind::FreshLongerThanExpire;
            reader.error(join(path, fields::FRESH), kind);
        }
        Tenant {
            homes,
            services,
            requests_per_s,
            burst,
            fresh_ms,
            expire_ms,
            urgency,
        }
    }

    fn read_rules(
        &mut self,
        reader: &mut Reader,
        file: &OwnedValue,
        regions: &[String],
        previous: Option<&Topology>,
    ) {
        if let Some(rules) = file.get(fields::RULES) {
            self.rules = match rules.as_str() {
                Some(text) => text.to_string(),
                None => reader.texts("", file, fields::RULES).join("\n"),
            };
        }
        let unchanged = previous.filter(|previous| previous.rules == self.rules);
        self.program = match unchanged {
            Some(previous) => Arc::clone(&previous.program),
            None => match policy::compile(&self.rules) {
                Ok(program) => Arc::new(program),
                Err(errors) => {
                    for error in errors {
                        reader.error(fields::RULES, error.into());
                    }
                    return;
                }
            },
        };
        for route in &self.program.routes {
            let mut services = route.target.services().into_iter();
            if services.any(|name| !self.services.contains_key(name)) {
                let kind = TopologyErrorKind::RouteWithUnknownService {
                    route: route.name.clone(),
                };
                reader.error(fields::RULES, kind);
            }
            let mut homes = route.homes.iter();
            if let Some(region) = homes.find(|region| !regions.contains(region)) {
                let kind = TopologyErrorKind::RouteWithUnknownRegion {
                    route: route.name.clone(),
                    region: region.clone(),
                };
                reader.error(fields::RULES, kind);
            }
        }
    }
}

fn read_homes(
    reader: &mut Reader,
    path: &str,
    value: &OwnedValue,
    regions: &[String],
) -> Vec<String> {
    let homes = reader.texts(path, value, fields::HOMES);
    for (at, home) in homes.iter().enumerate() {
        if !regions.contains(home) {
            let kind = TopologyErrorKind::UnknownRegion(home.clone());
            reader.error(format!("{path}.{}[{at}]", fields::HOMES), kind);
        }
    }
    if value.get(fields::HOMES).is_some() && homes.is_empty() {
        let kind = TopologyErrorKind::EmptyHomes;
        reader.error(join(path, fields::HOMES), kind);
    }
    homes
}

fn read_limits(reader: &mut Reader, limits: &OwnedValue) -> RequestLimits {
    let path = fields::LIMITS;
    let known = &[fields::HEAD, fields::BODY, fields::HEAD_WAIT, fields::IDLE];
    reader.check_fields(path, limits, known);
    let default = RequestLimits::default();
    RequestLimits {
        max_head_bytes: reader
            .count_between(path, limits, fields::HEAD, 1, MAX_HEAD_BYTES)
            .unwrap_or(default.max_head_bytes),
        body_limit_bytes: reader
            .count_between(path, limits, fields::BODY, 1, BODY_LIMIT_BYTES)
            .unwrap_or(default.body_limit_bytes),
        head_timeout_ms: reader
            .duration_ms(path, limits, fields::HEAD_WAIT)
            .unwrap_or(default.head_timeout_ms),
        idle_timeout_ms: reader
            .duration_ms(path, limits, fields::IDLE)
            .unwrap_or(default.idle_timeout_ms),
    }
}
