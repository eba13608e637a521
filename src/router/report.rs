//! Reports to operators: status, profiles and the dump of the state.

use {
    super::state::{
        lock,
        Router, //
    },
    operators::{
        InForce,
        Member,
        MemberState,
        Profiles,
        ServiceStatus,
        State,
        Status,
        Views,
        WorkspaceStatus, //
    },
    policy::{
        members,
        DispatchDump,
        RouterId,
        ServiceDump,
        Share,
        Slots,
        Span,
        Time,
        Units,
        Zone, //
    },
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{
            atomic::Ordering,
            Arc, //
        },
    },
};

/// The state of a router, as `GET /dump` shows it.
#[derive(Debug, Serialize)]
struct Dump {
    status: Status,
    listed: Vec<ListedDump>,
    withdrawn: Vec<String>,
    members: Vec<MemberDump>,
    tickets: TicketDump,
    dispatch: DispatchDump,
    traffic: TrafficDump,
}

#[derive(Debug, Serialize)]
struct ListedDump {
    name: String,
    service: String,
    addr: SocketAddr,
    leaving: bool,
}

#[derive(Debug, Serialize)]
struct MemberDump {
    id: RouterId,
    incarnation: String,
    zone: Zone,
    addr: SocketAddr,
    state: String,
    leaving: bool,
    #[serde(rename = "heard")]
    inbound_ok: bool,
    #[serde(rename = "hears")]
    outbound_ok: bool,
    config: u64,
    list: u64,
    load: u32,
}

#[derive(Debug, Serialize)]
struct TicketDump {
    issued: u64,
    held: usize,
    running: usize,
    done: usize,
    moved: usize,
    bytes: usize,
}

#[derive(Debug, Serialize)]
struct TrafficDump {
    sent: u64,
    received: u64,
}

/// Returns the callbacks of the operators' server.
pub(crate) fn views(router: &Arc<Router>) -> Views {
    let [status, revision, members, profiles, config, dump, ready] =
        std::array::from_fn(|_| router.clone());
    Views {
        status: Box::new(move || status.status()),
        revision: Box::new(move || revision.in_force()),
        members: Box::new(move || members.member_views()),
        profiles: Box::new(move || profiles.profiles()),
        config: Box::new(move || lock(&config.current_config).config.clone()),
        dump: Box::new(move || serde_json::to_value(dump.dump()).unwrap_or_default()),
        ready: Box::new(move || ready.state() == State::Ready),
    }
}

impl Router {
    fn state(&self) -> State {
        if self.is_leaving() {
            State::Leaving
        } else if lock(&self.current_config).head.ready() {
            State::Ready
        } else {
            State::Starting
        }
    }

    fn profiles(&self) -> Profiles {
        let current = lock(&self.current_config);
        let revision = current.head.revision().map_or(0, |r| r.0);
        Profiles::new(revision, &current.fleet)
    }

    pub(crate) fn status(&self) -> Status {
        let state = self.state();
        let (revision, writer) = self.revision();
        let members = self.member_views();
        let dump = lock(&self.dispatch).dump();
        let traffic = self.links.traffic();
        Status {
            name: self.me.router.clone(),
            incarnation: self.me.incarnation,
            zone: self.settings.zone.clone(),
            state,
            revision,
            writer,
            platform: !self.no_platform.load(Ordering::Relaxed),
            uptime: self.now().since(Time::default()),
            control: traffic.sent() + traffic.received(),
            members,
            services: dump.services.iter().map(service).collect(),
            workspaces: self.workspaces(&dump),
        }
    }

    fn revision(&self) -> (u64, String) {
        let current = lock(&self.current_config);
        match &current.config {
            Some(c) => (c.revision.0, c.writer.clone()),
            None => (0, String::new()),
        }
    }

    fn in_force(&self) -> InForce {
        InForce {
            name: self.me.router.clone(),
            incarnation: self.me.incarnation,
            revision: self.revision().0,
        }
    }

    fn member_views(&self) -> Vec<Member> {
        let view = lock(&self.members).view();
        view.into_iter()
            .map(|m| Member {
                name: m.id,
                incarnation: m.incarnation,
                zone: m.zone,
                state: match m.state {
                    _ if m.leaving => MemberState::Leaving,
                    members::State::Live => MemberState::Live,
                    members::State::Listed | members::State::Suspect => MemberState::Suspect,
                    members::State::Dead | members::State::Left => MemberState::Gone,
                },
                operators: m.operator_addr,
                revision: m.config,
                silent: Span::ZERO,
            })
            .collect()
    }

    fn workspaces(&self, dump: &DispatchDump) -> Vec<WorkspaceStatus> {
        let fleet = self.fleet();
        let counters = lock(&self.counters);
        counters
            .iter()
            .map(|(key, counts)| WorkspaceStatus {
                name: key.workspace.clone(),
                service: key.service.clone(),
                share: fleet.share(key.workspace.as_str()).unwrap_or(Share::ONE),
                queued: queued(dump, key),
                running: 0,
                answered: counts.answered,
                refused: counts.refused,
                received: counts.received,
            })
            .collect()
    }

    fn dump(&self) -> Dump {
        let status = self.status();
        let listing = lock(&self.listing);
        let listed = listing.listed.instances.iter().map(listed).collect();
        let withdrawn = listing.withdrawn.keys().map(ToString::to_string).collect();
        drop(listing);
        let members = lock(&self.members).known().map(member).collect();
        let counts = lock(&self.tickets).counts();
        let traffic = self.links.traffic();
        Dump {
            status,
            listed,
            withdrawn,
            members,
            tickets: TicketDump {
                issued: counts.issued,
                held: counts.held,
                running: counts.running,
                done: counts.done,
                moved: counts.moved,
                bytes: counts.bytes,
            },
            dispatch: lock(&self.dispatch).dump(),
            traffic: TrafficDump {
                sent: traffic.sent(),
                received: traffic.received(),
            },
        }
    }
}

fn queued(dump: &DispatchDump, key: &super::counters::CounterKey) -> u32 {
    let service = dump.services.iter().find(|s| s.service == key.service);
    let queue = service.and_then(|s| s.queues.iter().find(|q| q.workspace == key.workspace));
    queue.map_or(0, |q| q.queued as u32)
}

fn service(s: &ServiceDump) -> ServiceStatus {
    let accepting = s.replicas.iter().filter(|r| !r.leaving);
    let sum = |of: fn(&policy::ReplicaDump) -> Slots| s.replicas.iter().map(|r| of(r).0).sum();
    let lowest = s
        .queues
        .iter()
        .map(|q| q.service.0)
        .fold(f64::INFINITY, f64::min);
    let highest = s.queues.iter().map(|q| q.service.0).fold(0.0, f64::max);
    ServiceStatus {
        name: s.service.clone(),
        replicas: accepting.count() as u32,
        limit: s.replicas.iter().filter_map(|r| r.limit).map(|l| l.0).sum(),
        lent: sum(|r| r.allowed),
        running: sum(|r| r.running),
        queued: s.queues.iter().map(|q| q.queued as u32).sum(),
        gap: Units((highest - lowest).max(0.0)),
    }
}

fn listed(i: &kvstore::Instance) -> ListedDump {
    ListedDump {
        name: i.name.clone(),
        service: i
            .service
            .as_ref()
            .map_or(String::new(), ToString::to_string),
        addr: i.addr,
        leaving: i.state == kvstore::State::Leaving,
    }
}

fn member(m: &members::Member) -> MemberDump {
    MemberDump {
        id: m.id.clone(),
        incarnation: m.incarnation.to_string(),
        zone: m.zone.clone(),
        addr: m.addr,
        state: m.state.to_string(),
        leaving: m.leaving,
        inbound_ok: m.inbound_ok,
        outbound_ok: m.outbound_ok,
        config: m.config,
        list: m.list,
        load: m.load,
    }
}
