//! Minimal object store with conditional updates of single objects and simulated outages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncBufReadExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

type Objects = BTreeMap<String, (u64, Value)>;

#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    up: Arc<AtomicBool>,
    objects: Arc<Mutex<Objects>>,
}

impl Store {
    pub async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            up: Arc::new(AtomicBool::new(true)),
            objects: Arc::default(),
        };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        store
    }

    /// Starts or ends an outage.
    pub fn set_up(&self, up: bool) {
        self.up.store(up, Ordering::SeqCst);
    }

    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Value of the object at a path such as `seats/all`.
    pub fn value(&self, path: &str) -> Option<Value> {
        let objects = self.objects.lock().unwrap();
        objects.get(path).map(|o| o.1["value"].clone())
    }

    async fn serve(self, stream: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(stream);
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).await.ok()?;
            let mut words = line.split_whitespace();
            let method = words.next()?.to_owned();
            let target = words.next()?.to_owned();
            let mut length = 0;
            loop {
                let mut header = String::new();
                stream.read_line(&mut header).await.ok()?;
                if header.trim().is_empty() {
                    break;
                }
                if let Some(value) = header.to_lowercase().strip_prefix("content-length:") {
                    length = value.trim().parse().ok()?;
                }
            }
            let mut body = vec![0; length];
            stream.read_exact(&mut body).await.ok()?;
            // During an outage, the connection is closed without a response.
            if !self.up.load(Ordering::SeqCst) {
                return None;
            }
            let (status, answer) = self.answer(&method, &target, &body);
            let answer = answer.to_string();
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                answer.len()
            );
            stream.write_all((head + &answer).as_bytes()).await.ok()?;
        }
    }

    fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Value) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/objects/").to_owned();
        let mut objects = self.objects.lock().unwrap();
        let current = objects.get(&path).map_or(0, |o| o.0);
        if method == "GET" {
            return objects
                .get(&path)
                .map_or((404, Value::Null), |o| (200, o.1.clone()));
        }
        if query != format!("if_version={current}") {
            return (409, json!({ "current": current }));
        }
        let write_request: Value = serde_json::from_slice(body).unwrap();
        let (kind, name) = path.split_once('/').unwrap();
        let object = json!({
            "kind": kind, "name": name, "version": current + 1,
            "change_id": write_request["change_id"], "value": write_request["value"],
        });
        objects.insert(path, (current + 1, object.clone()));
        (200, object)
    }
}
