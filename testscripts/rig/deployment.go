package rig

import "path/filepath"

const (
	modelSlots = 16
	dataCentre = "-1"
)

// Tesfaye is today's deployment of Tesfaye Fairway Bookings: 8 VMs in three
// regions, 10 model replicas and 3 of the booking service. examples is the
// folder of example documents.
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

// Planhigion is today's deployment of Planhigion Balconi.
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
		DataCentre: name + dataCentre,
		VMs:        vms,
		Endpoints: []Endpoints{
			{
				Model:    model,
				Replicas: replicas,
				Slots:    modelSlots,
			},
			{
				Service:  service,
				Replicas: 1,
			},
		},
	}
}
