package plat

// wireList is the platform's reply to a list call.
type wireList struct {
	Objects []wireObject `json:"objects"`
}

// wireObject is an object in a list; its value travels as base64.
type wireObject struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// wireWatch is the platform's reply to a watch.
type wireWatch struct {
	Changes []wireChange `json:"changes"`
	Upto    Version      `json:"upto"`
}

// wireChange is one change; a deleted object has version 0.
type wireChange struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	At      Version `json:"at"`
	Value   []byte  `json:"value"`
}

// wireInstances is the platform's list of instances.
type wireInstances struct {
	Instances []Instance `json:"instances"`
}
