package plat

// listReply is the platform's reply to a list call.
type listReply struct {
	Objects []objectEntry `json:"objects"`
}

// objectEntry is an object in a list; its value is encoded as base64.
type objectEntry struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// watchReply is the platform's reply to a watch.
type watchReply struct {
	Changes []changeEntry `json:"changes"`
	Upto    Version       `json:"upto"`
}

// changeEntry is one change; a deleted object has version 0.
type changeEntry struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	At      Version `json:"at"`
	Value   []byte  `json:"value"`
}

// instancesReply is the platform's list of instances.
type instancesReply struct {
	Instances []Instance `json:"instances"`
}
