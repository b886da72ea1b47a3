//! Follows the store; replaced by the module that also reads from peers.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use tokio::sync::watch;

/// Longest wait of one watch call.
const WATCH: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(200);
/// Reads all objects, then follows changes until every receiver is dropped.
pub fn spawn(store: StoreClient) -> watch::Receiver<Arc<ConfigView>> {
    let (sender, receiver) = watch::channel(Arc::new(ConfigView::default()));
    tokio::spawn(async move {
        let mut view = ConfigView::default();
        let mut loaded = false;
        while !sender.is_closed() {
            let step = if loaded {
                follow(&store, &mut view).await
            } else {
                load(&store, &mut view).await.map(|()| loaded = true)
            };
            match step {
                Ok(()) => drop(sender.send_replace(Arc::new(view.clone()))),
                Err(error) => {
                    tracing::warn!(event = 240, %error, "the store cannot be read");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    });
    receiver
}

async fn load(store: &StoreClient, view: &mut ConfigView) -> Result<(), StoreError> {
    let mut lists = Vec::with_capacity(kind::ALL.len());
    for kind in kind::ALL {
        lists.push((kind, store.list(kind).await?));
    }
    view.merge_lists(&lists);
    Ok(())
}

async fn follow(store: &StoreClient, view: &mut ConfigView) -> Result<(), StoreError> {
    let list = store.watch(view.revision, WATCH).await?;
    for change in &list.changes {
        view.apply(change);
    }
    view.advance(list.revision);
    Ok(())
}
