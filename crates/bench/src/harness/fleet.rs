//! All processes of one experiment.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use magnoliahatch_client::keys;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::contract::Contract;
use magnoliahatch_client::objects::database::Database;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::member::Member;
use magnoliahatch_client::objects::route::Route;
use magnoliahatch_client::objects::token_secret::TokenSecret;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_core::ids::OrganisationId;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::fault::api::LinkChange;
use crate::fault::client::FaultClient;
use crate::fault::client_error::FaultClientError;
use crate::fault::source::Source;
use crate::harness::binaries::find_in;
use crate::harness::error::HarnessError;
use crate::harness::links;
use crate::harness::members;
use crate::harness::objects;
use crate::harness::plan::ContractPlan;
use crate::harness::plan::DatabasePlan;
use crate::harness::plan::FleetPlan;
use crate::harness::plan::HostPlan;
use crate::harness::plan::MemberPlan;
use crate::harness::process::Process;
use crate::harness::tls::Authority;
use crate::store::fault::StoreFault;

/// The name of each kind of process's binary.
const STORE: &str = "standin-store";
const MEMBER: &str = "standin-member";
const PROXY: &str = "fault-proxy";
const DAEMON: &str = "magnoliahatchd";
/// A socket of a daemon or member that callers and peers use.
const SQL: &str = "sql";
const CONTROL: &str = "control";
const ANY: &str = "127.0.0.1:0";

/// Where the binaries are.
#[derive(Debug, Clone)]
pub struct Binaries {
    pub folder: PathBuf,
    /// Daemon of another build.
    pub daemon: Option<PathBuf>,
}

/// All processes of one experiment, with files in a temporary folder. Dropping it kills them.
#[derive(Debug)]
pub struct Fleet {
    plan: FleetPlan,
    binaries: Binaries,
    pub faults: FaultClient,
    pub store: StoreClient,
    /// Addresses of the links by name.
    links: BTreeMap<String, SocketAddr>,
    keys: BTreeMap<OrganisationId, String>,
    authority: Authority,
    /// Declared before the folder, so that the processes end before it is removed.
    processes: BTreeMap<String, Process>,
    folder: TempDir,
}

impl Fleet {
    /// Starts the store, the fault proxy, the members and the daemons, in this order.
    pub async fn start(
        plan: FleetPlan,
        contracts: &[ContractPlan],
        binaries: Binaries,
    ) -> Result<Self, HarnessError> {
        let folder = TempDir::new()?;
        let proxy = json!({"admin": ANY, "links": links::all(&plan)});
        let proxy = Process::spawn(
            PROXY,
            &find_in(&binaries.folder, PROXY)?,
            &proxy,
            folder.path(),
        )
        .await?;
        let faults = FaultClient::open(proxy.listen("admin")?)?;
        let settings = json!({"listen": ANY, "log_filter": "warn"});
        let store = Process::spawn(
            STORE,
            &find_in(&binaries.folder, STORE)?,
            &settings,
            folder.path(),
        )
        .await?;
        let address = store.listen("store")?;
        let mut fleet = Self {
            plan,
            binaries,
            faults,
            store: StoreClient::open(&format!("http://{address}"))?,
            links: proxy.ready().listen.clone(),
            keys: BTreeMap::new(),
            authority: Authority::create(folder.path())?,
            processes: BTreeMap::from([(PROXY.to_owned(), proxy), (STORE.to_owned(), store)]),
            folder,
        };
        fleet.aim(links::STORE, address).await?;
        for database in fleet.plan.databases.clone() {
            fleet.start_database(&database).await?;
        }
        fleet.write_objects(contracts).await?;
        for host in fleet.plan.hosts.clone() {
            fleet.start_host(&host).await?;
        }
        Ok(fleet)
    }

    /// What the fleet consists of.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Folder of settings, logs and data.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Copies the logs of all processes into a folder.
    pub fn copy_logs(&self, to: &Path) -> Result<(), HarnessError> {
        std::fs::create_dir_all(to)?;
        for entry in std::fs::read_dir(self.folder())? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "log")
                && let Some(name) = path.file_name()
            {
                std::fs::copy(&path, to.join(name))?;
            }
        }
        Ok(())
    }

    /// A process by the name of its host or member, or of its binary for the store and the proxy.
    pub fn process(&mut self, name: &str) -> Result<&mut Process, HarnessError> {
        let found = self.processes.get_mut(name);
        found.ok_or_else(|| HarnessError::Unknown(name.to_owned()))
    }

    /// Address at which callers reach a host.
    pub fn entry(&self, host: &str) -> Result<SocketAddr, HarnessError> {
        self.link(&links::host(host))
    }

    /// Key that the organisation's callers present.
    pub fn key(&self, organisation: &str) -> Result<&str, HarnessError> {
        let found = self.keys.get(organisation).map(String::as_str);
        found.ok_or_else(|| HarnessError::Unknown(organisation.to_owned()))
    }

    /// Own address of a member, past the fault proxy.
    pub fn member(&self, name: &str) -> Result<SocketAddr, HarnessError> {
        let found = self.processes.get(name);
        let member = found.ok_or_else(|| HarnessError::Unknown(name.to_owned()))?;
        member.listen(SQL)
    }

    /// Member that leads the highest term of a database, asked past the fault proxy.
    pub async fn primary(&self, database: &str) -> Result<String, HarnessError> {
        let mut found = None;
        for member in &self.database(database)?.members {
            let status = members::status(self.member(&member.name)?).await;
            if let Some(status) = status.filter(|status| status.role == "primary") {
                found = found.max(Some((status.term, member.name.clone())));
            }
        }
        let primary = found.map(|(_, name)| name);
        primary.ok_or_else(|| HarnessError::Condition(format!("{database} has a primary")))
    }

    /// Changes the fault of the store stand-in, past the fault proxy.
    pub async fn set_store_fault(&self, fault: &StoreFault) -> Result<(), HarnessError> {
        let store = self.processes.get(STORE);
        let store = store.ok_or_else(|| HarnessError::Unknown(STORE.to_owned()))?;
        let url = format!("http://{}/fault", store.listen("store")?);
        let client = reqwest::Client::builder().no_proxy().build();
        let answer = match client {
            Ok(client) => client.post(url).json(fault).send().await,
            Err(error) => Err(error),
        };
        let answer = answer.and_then(reqwest::Response::error_for_status);
        answer.map_err(FaultClientError::Request)?;
        Ok(())
    }

    /// Starts a host or member again that has ended. A member keeps its address and its data.
    pub async fn restart(&mut self, name: &str) -> Result<(), HarnessError> {
        if let Some(host) = self
            .plan
            .hosts
            .iter()
            .find(|host| host.name == name)
            .cloned()
        {
            return self.start_host(&host).await;
        }
        for database in self.plan.databases.clone() {
            if let Some(member) = database.members.iter().find(|member| member.name == name) {
                return self.start_member(&database, member).await;
            }
        }
        Err(HarnessError::Unknown(name.to_owned()))
    }

    async fn start_database(&mut self, database: &DatabasePlan) -> Result<(), HarnessError> {
        for member in &database.members {
            self.start_member(database, member).await?;
        }
        Ok(())
    }

    async fn start_member(
        &mut self,
        database: &DatabasePlan,
        member: &MemberPlan,
    ) -> Result<(), HarnessError> {
        let name = &member.name;
        let first = database.members.first().map(|first| first.name.as_str());
        let start = match first {
            Some(first) if first != name => json!({"follow": self.link(&links::peer(first))?}),
            _ => json!("primary"),
        };
        let tuning = self.plan.members;
        let settings = json!({
            "member": name,
            "listen": {"sql": self.member(name).map_or(ANY.to_owned(), |old| old.to_string())},
            "data_dir": self.folder.path().join(format!("data-{name}")),
            "start": start,
            "connections": database.connections + tuning.spare_connections,
            "slots": database.slots,
            "connect_ms": tuning.connect_ms,
            "service_us": tuning.service_us,
            "lag_ms": tuning.lag_ms,
        });
        let process = self.spawn(name, MEMBER, &settings).await?;
        let sql = process.listen(SQL)?;
        let source = Source {
            process: process.id(),
            udp: None,
        };
        self.processes.insert(name.clone(), process);
        self.faults.set_source(name, &source).await?;
        self.aim(&links::member(name), sql).await?;
        self.aim(&links::peer(name), sql).await
    }

    async fn start_host(&mut self, host: &HostPlan) -> Result<(), HarnessError> {
        let name = &host.name;
        let files = self.authority.issue(name)?;
        let mut settings = json!({
            "host": name,
            "region": self.plan.region(&host.data_centre),
            "data_centre": host.data_centre,
            "listen": {"sql": ANY, "admin": ANY, "control": ANY},
            "store": {"url": format!("http://{}", self.link(links::STORE)?)},
            "control_tls": {
                "ca": files.authority,
                "cert": files.certificate,
                "key": files.key,
            },
            "advertise": {"control": self.link(&links::control(name))?},
            "log": {"filter": "warn"},
        });
        for (field, value) in &self.plan.daemon {
            merge(&mut settings[field], value);
        }
        let process = self.spawn(name, DAEMON, &settings).await?;
        let control = process.listen(CONTROL).ok();
        let source = Source {
            process: process.id(),
            udp: control,
        };
        self.aim(&links::host(name), process.listen(SQL)?).await?;
        if let Some(control) = control {
            self.aim(&links::control(name), control).await?;
        }
        self.processes.insert(name.clone(), process);
        Ok(self.faults.set_source(name, &source).await?)
    }

    async fn write_objects(&mut self, contracts: &[ContractPlan]) -> Result<(), HarnessError> {
        let store = self.store.clone();
        let secret = TokenSecret {
            key: random_secret(),
        };
        objects::put(&store, kind::SECRET, kind::TOKEN_SECRET_NAME, &secret).await?;
        for plan in self.plan.databases.clone() {
            let members = plan.members.iter().map(|member| {
                Ok(Member {
                    name: member.name.clone(),
                    address: self.link(&links::member(&member.name))?,
                    peer_address: Some(self.link(&links::peer(&member.name))?),
                    data_centre: member.data_centre.clone(),
                })
            });
            let database = Database {
                members: members.collect::<Result<_, HarnessError>>()?,
                connections: plan.connections,
                slots: plan.slots,
                member_rate: None,
            };
            objects::put(&store, kind::DATABASE, &plan.name, &database).await?;
            // Each route has the name of its database.
            let route = Route {
                database: plan.name.clone(),
                access: Access::Key,
                organisation: None,
            };
            objects::put(&store, kind::ROUTE, &plan.name, &route).await?;
        }
        for plan in contracts {
            let created = keys::create();
            let contract = Contract {
                rate: plan.rate,
                burst: plan.burst,
                max_age_ms: plan.max_age_ms,
                weight: plan.weight,
                idle_in_transaction_ms: IDLE_IN_TRANSACTION_MS,
                keys: vec![created.hash],
            };
            objects::put(&store, kind::CONTRACT, &plan.name, &contract).await?;
            self.keys.insert(plan.name.clone(), created.key);
        }
        Ok(())
    }

    async fn spawn(
        &self,
        name: &str,
        binary: &str,
        settings: &Value,
    ) -> Result<Process, HarnessError> {
        let binary = match (&self.binaries.daemon, binary) {
            (Some(daemon), DAEMON) => daemon.clone(),
            _ => find_in(&self.binaries.folder, binary)?,
        };
        Process::spawn(name, &binary, settings, self.folder.path()).await
    }

    async fn aim(&self, link: &str, target: SocketAddr) -> Result<(), HarnessError> {
        let change = LinkChange {
            target: Some(target),
            ..LinkChange::default()
        };
        self.faults.change(link, &change).await?;
        Ok(())
    }

    fn link(&self, name: &str) -> Result<SocketAddr, HarnessError> {
        let found = self.links.get(name).copied();
        found.ok_or_else(|| HarnessError::Unknown(name.to_owned()))
    }

    fn database(&self, name: &str) -> Result<&DatabasePlan, HarnessError> {
        let found = self
            .plan
            .databases
            .iter()
            .find(|database| database.name == name);
        found.ok_or_else(|| HarnessError::Unknown(name.to_owned()))
    }
}

/// Same as the contract's default.
const IDLE_IN_TRANSACTION_MS: u64 = 10_000;

/// Replaces values, and merges objects field by field.
fn merge(into: &mut Value, value: &Value) {
    match (into, value) {
        (Value::Object(into), Value::Object(fields)) => {
            for (field, value) in fields {
                merge(into.entry(field.clone()).or_insert(Value::Null), value);
            }
        }
        (into, value) => *into = value.clone(),
    }
}

/// 32 random bytes in base64.
fn random_secret() -> String {
    let bytes: [u8; 32] = rand::random();
    BASE64_STANDARD.encode(bytes)
}
