package rig

import "path/filepath"

const (
	slotsPerReplica  = 16
	dataCentreSuffix = "-1"
)

// Tesfaye returns the example deployment of Tesfaye Fairway Bookings: 8 VMs in
// three regions, 10 model replicas and 3 replicas of the booking service.
// examples is the folder of the example documents.
func Tesfaye(examples string) Options {
	return Options{
		Documents: filepath.Join(examples, "tesfaye"),
		Regions: []Region{
			newRegion("addis-ababa", 3, "members-assistant", 4, "tee-sheet"),
			newRegion("bahir-dar", 3, "members-assistant", 3, "tee-sheet"),
			newRegion("hawassa", 2, "members-assistant", 3, "tee-sheet"),
		},
	}
}

// Planhigion returns the example deployment of Planhigion Balconi, of the same
// size. examples is the folder of the example documents.
func Planhigion(examples string) Options {
	return Options{
		Documents: filepath.Join(examples, "planhigion"),
		Regions: []Region{
			newRegion("south", 3, "plant-advice", 4, "sensor-readings"),
			newRegion("north", 3, "plant-advice", 3, "sensor-readings"),
			newRegion("mid", 2, "plant-advice", 3, "sensor-readings"),
		},
	}
}

func newRegion(name string, vms int, model string, replicas int, service string) Region {
	return Region{
		Name:       name,
		DataCentre: name + dataCentreSuffix,
		VMs:        vms,
		Endpoints: []EndpointGroup{
			{
				Model:    model,
				Replicas: replicas,
				Slots:    slotsPerReplica,
			},
			{
				Service:  service,
				Replicas: 1,
			},
		},
	}
}
